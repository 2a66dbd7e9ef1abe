package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.apache.hc.core5.io.CloseMode;

/**
 * A connection of an {@link HttpServer}. Closes the connection when writing a body fails, so that
 * no final chunk is sent and the caller detects the truncated body. Takes no request for whole that
 * ends inside its head or trailers.
 */
final class ServerConnection extends DefaultBHttpServerConnection {
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_HEADERS = 100;

    /** Size of each connection's buffers; bodies are read and written past them. */
    private static final int BUFFER_BYTES = 2048;

    ServerConnection(Charger charger) {
        this(new AtomicReference<>(), charger);
    }

    private ServerConnection(AtomicReference<ServerConnection> self, Charger charger) {
        super(
                "http",
                http1Config(),
                null,
                null,
                null,
                null,
                _ -> new RequestParser(bytes -> charger.charge(self.get(), bytes)),
                null);
        self.set(this);
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream in) {
        return super.createContentInputStream(
                length, CompleteLineInput.ofRequestBody(buffer), new FairInput(in));
    }

    @Override
    public void sendResponseEntity(ClassicHttpResponse response) throws HttpException, IOException {
        HttpEntity entity = response.getEntity();
        if (entity != null) {
            response.setEntity(
                    new HttpEntityWrapper(entity) {
                        @Override
                        public void writeTo(OutputStream out) throws IOException {
                            try {
                                super.writeTo(out);
                            } catch (IOException | RuntimeException e) {
                                ServerConnection.this.close(CloseMode.IMMEDIATE);
                                throw e;
                            }
                        }
                    });
        }
        super.sendResponseEntity(response);
    }

    private static Http1Config http1Config() {
        return Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setMaxLineLength(MAX_HEADER_BYTES)
                .setMaxHeaderCount(MAX_HEADERS)
                .build();
    }

    /** Charges what a connection holds. */
    @FunctionalInterface
    interface Charger {
        void charge(ServerConnection connection, long bytes) throws IOException;
    }

    private static final class RequestParser extends DefaultHttpRequestParser {
        private final IntakeMeter meter;

        RequestParser(IntakeMeter meter) {
            super(http1Config());
            this.meter = meter;
        }

        @Override
        public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream in)
                throws IOException, HttpException {
            return super.parse(CompleteLineInput.ofRequestHead(buffer, meter), in);
        }
    }
}
