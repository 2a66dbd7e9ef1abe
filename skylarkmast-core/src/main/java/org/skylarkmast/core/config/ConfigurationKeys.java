package org.skylarkmast.core.config;

import org.skylarkmast.core.store.StoreKeys;

/** Keys of the configuration in the key-value service. */
public final class ConfigurationKeys {

    /** Key of the {@link ConfigurationHead}. Only a write to this key publishes a configuration. */
    public static final String HEAD = StoreKeys.CONFIGURATION + "head";

    private static final String CHUNKS = StoreKeys.CONFIGURATION + "chunks/";

    private ConfigurationKeys() {}

    /**
     * Returns the key of the chunk with the SHA-256 digest {@code digest}; its value never changes.
     */
    public static String chunk(String digest) {
        return CHUNKS + digest;
    }
}
