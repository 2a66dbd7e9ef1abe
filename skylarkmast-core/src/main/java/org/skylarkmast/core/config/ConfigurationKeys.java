package org.skylarkmast.core.config;

import org.skylarkmast.core.store.StoreKeys;

/** Where the configuration lies in the key-value service. */
public final class ConfigurationKeys {

    /** Key of the {@link ConfigurationHead}, the only key whose change is a new configuration. */
    public static final String HEAD = StoreKeys.CONFIGURATION + "head";

    private static final String CHUNKS = StoreKeys.CONFIGURATION + "chunks/";

    private ConfigurationKeys() {}

    /** Key of the chunk with the SHA-256 digest {@code digest}; its value never changes. */
    public static String chunk(String digest) {
        return CHUNKS + digest;
    }
}
