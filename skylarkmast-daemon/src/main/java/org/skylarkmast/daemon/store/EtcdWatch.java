package org.skylarkmast.daemon.store;

import static org.skylarkmast.daemon.store.EtcdMessages.bytes;

import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.grpc.Status;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.rpc.etcd.EtcdProto;
import org.skylarkmast.rpc.etcd.MvccProto;
import org.skylarkmast.rpc.etcd.WatchGrpc;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One watch. When its stream breaks, it is reopened from the revision after the last one received.
 *
 * <p>Thread-safe. One stream is open at a time, and gRPC delivers a stream's messages one by one,
 * so the listener receives events in order, from one thread at a time.
 */
final class EtcdWatch implements Watch {
    private static final Logger LOG = LoggerFactory.getLogger(EtcdWatch.class);

    /**
     * Initial back-off before a broken stream is reopened; limits the load on a failing service.
     */
    private static final long MIN_BACKOFF_MS = 100;

    /** Maximum back-off; after an outage, changes may be received this much later. */
    private static final long MAX_BACKOFF_MS = 1_600;

    private final EtcdChannel channel;
    private final ScheduledExecutorService scheduler;
    private final long createTimeoutMs;
    private final KeyRange keys;
    private final Consumer<WatchEvent> listener;
    private final Consumer<EtcdWatch> onStopped;

    private long nextRevision;
    private long backoffMs = MIN_BACKOFF_MS;
    private boolean stopped;
    private ClientCall<EtcdProto.WatchRequest, EtcdProto.WatchResponse> call;

    /** Keys from {@code fromKey} (inclusive) to {@code toKey} (exclusive). */
    record KeyRange(String fromKey, String toKey) {}

    EtcdWatch(
            EtcdChannel channel,
            ScheduledExecutorService scheduler,
            long createTimeoutMs,
            KeyRange keys,
            long fromRevision,
            Consumer<WatchEvent> listener,
            Consumer<EtcdWatch> onStopped) {
        this.channel = channel;
        this.scheduler = scheduler;
        this.createTimeoutMs = createTimeoutMs;
        this.keys = keys;
        this.nextRevision = fromRevision;
        this.listener = listener;
        this.onStopped = onStopped;
    }

    /** Opens a stream, unless the watch is closed. */
    synchronized void open() {
        if (stopped) {
            return;
        }
        EtcdProto.WatchRequest create =
                EtcdProto.WatchRequest.newBuilder()
                        .setCreateRequest(
                                EtcdProto.WatchCreateRequest.newBuilder()
                                        .setKey(bytes(keys.fromKey()))
                                        .setRangeEnd(bytes(keys.toKey()))
                                        .setStartRevision(nextRevision))
                        .build();
        call = channel.open(WatchGrpc.getWatchMethod());
        StreamListener stream = new StreamListener(call);
        call.start(stream, new Metadata());
        call.request(1);
        call.sendMessage(create);
        schedule(stream::cancelUnlessCreated, createTimeoutMs);
    }

    @Override
    public void close() {
        stop();
    }

    private boolean stop() {
        ClientCall<EtcdProto.WatchRequest, EtcdProto.WatchResponse> open;
        synchronized (this) {
            if (stopped) {
                return false;
            }
            stopped = true;
            open = call;
        }
        onStopped.accept(this);
        if (open != null) {
            open.cancel("watch closed", null);
        }
        return true;
    }

    private synchronized boolean stopped() {
        return stopped;
    }

    private void reportLost(String reason) {
        if (stop()) {
            LOG.atInfo()
                    .addKeyValue("event", "watch_lost")
                    .addKeyValue("fromKey", keys.fromKey())
                    .addKeyValue("reason", reason)
                    .log();
            listener.accept(new WatchEvent.Lost(reason));
        }
    }

    private void scheduleReopen(Status status) {
        long delayMs;
        synchronized (this) {
            if (stopped) {
                return;
            }
            delayMs = backoffMs;
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        }
        LOG.atInfo()
                .addKeyValue("event", "watch_broken")
                .addKeyValue("fromKey", keys.fromKey())
                .addKeyValue("status", status)
                .addKeyValue("reopenInMs", delayMs)
                .log();
        channel.reconnect();
        schedule(this::open, delayMs);
    }

    private void schedule(Runnable task, long delayMs) {
        try {
            ScheduledFuture<?> _ = scheduler.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.atDebug().addKeyValue("event", "watch_timer_closed").log();
        }
    }

    private void deliver(EtcdProto.WatchResponse response) {
        for (MvccProto.Event event : response.getEventsList()) {
            if (stopped()) {
                return;
            }
            listener.accept(toWatchEvent(event));
        }
        synchronized (this) {
            for (MvccProto.Event event : response.getEventsList()) {
                nextRevision = Math.max(nextRevision, event.getKv().getModRevision() + 1);
            }
            if (response.getCreated()) {
                backoffMs = MIN_BACKOFF_MS;
                if (nextRevision == 0) {
                    nextRevision = response.getHeader().getRevision() + 1;
                }
            }
        }
    }

    private static WatchEvent toWatchEvent(MvccProto.Event event) {
        return switch (event.getType()) {
            case PUT -> new WatchEvent.Written(EtcdMessages.toEntry(event.getKv()));
            case DELETE ->
                    new WatchEvent.Removed(
                            event.getKv().getKey().toStringUtf8(), event.getKv().getModRevision());
            case UNRECOGNIZED ->
                    throw new IllegalStateException("unknown type of watch event: " + event);
        };
    }

    private final class StreamListener extends ClientCall.Listener<EtcdProto.WatchResponse> {
        private final ClientCall<EtcdProto.WatchRequest, EtcdProto.WatchResponse> stream;

        private volatile boolean created;

        StreamListener(ClientCall<EtcdProto.WatchRequest, EtcdProto.WatchResponse> stream) {
            this.stream = stream;
        }

        void cancelUnlessCreated() {
            if (!created) {
                stream.cancel("watch was not created within the call timeout", null);
            }
        }

        @Override
        public void onMessage(EtcdProto.WatchResponse response) {
            if (response.getCanceled()) {
                reportLost(
                        response.getCompactRevision() > 0
                                ? "compacted up to " + response.getCompactRevision()
                                : "cancelled: " + response.getCancelReason());
                return;
            }
            created = true;
            deliver(response);
            stream.request(1);
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
            scheduleReopen(status);
        }
    }
}
