package org.skylarkmast.core.store;

/** A running watch; closing it stops further events. */
public interface Watch extends AutoCloseable {

    @Override
    void close();
}
