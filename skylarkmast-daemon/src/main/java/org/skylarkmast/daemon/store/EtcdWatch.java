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
 * One watch, reopened from the revision after the last one seen whenever its stream breaks.
 *
 * <p>Thread-safe. One stream is open at a time, and gRPC passes a stream's messages one by one, so
 * the listener sees events in order from one thread at a time.
 */
final class EtcdWatch implements Watch {
    private static final Logger LOG = LoggerFactory.getLogger(EtcdWatch.class);

    /** First pause before a broken stream is reopened; shorter ones load an ailing service. */
    private static final long MIN_REOPEN_MS = 100;

    /** Longest pause, by which a change may be seen late after an outage. */
    private static final long MAX_REOPEN_MS = 1_600;

    private final EtcdChannel channel;
    private final ScheduledExecutorService scheduler;
    private final long createTimeoutMs;
    private final KeyRange keys;
    private final Consumer<WatchEvent> listener;
    private final Consumer<EtcdWatch> onEnd;

    private long nextRevision;
    private long reopenMs = MIN_REOPEN_MS;
    private boolean ended;
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
            Consumer<EtcdWatch> onEnd) {
        this.channel = channel;
        this.scheduler = scheduler;
        this.createTimeoutMs = createTimeoutMs;
        this.keys = keys;
        this.nextRevision = fromRevision;
        this.listener = listener;
        this.onEnd = onEnd;
    }

    /** Opens a stream. */
    synchronized void open() {
        if (ended) {
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
        end();
    }

    private boolean end() {
        ClientCall<EtcdProto.WatchRequest, EtcdProto.WatchResponse> open;
        synchronized (this) {
            if (ended) {
                return false;
            }
            ended = true;
            open = call;
        }
        onEnd.accept(this);
        if (open != null) {
            open.cancel("watch closed", null);
        }
        return true;
    }

    private synchronized boolean ended() {
        return ended;
    }

    private void lose(String reason) {
        if (end()) {
            LOG.atInfo()
                    .addKeyValue("event", "watch_lost")
                    .addKeyValue("fromKey", keys.fromKey())
                    .addKeyValue("reason", reason)
                    .log();
            listener.accept(new WatchEvent.Lost(reason));
        }
    }

    private void reopenLater(Status status) {
        long pauseMs;
        synchronized (this) {
            if (ended) {
                return;
            }
            pauseMs = reopenMs;
            reopenMs = Math.min(MAX_REOPEN_MS, reopenMs * 2);
        }
        LOG.atInfo()
                .addKeyValue("event", "watch_broken")
                .addKeyValue("fromKey", keys.fromKey())
                .addKeyValue("status", status)
                .addKeyValue("reopenInMs", pauseMs)
                .log();
        channel.reconnect();
        schedule(this::open, pauseMs);
    }

    private void schedule(Runnable task, long delayMs) {
        try {
            ScheduledFuture<?> _ = scheduler.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.atDebug().addKeyValue("event", "watch_timer_closed").log();
        }
    }

    private void take(EtcdProto.WatchResponse response) {
        for (MvccProto.Event event : response.getEventsList()) {
            if (ended()) {
                return;
            }
            listener.accept(toWatchEvent(event));
        }
        synchronized (this) {
            for (MvccProto.Event event : response.getEventsList()) {
                nextRevision = Math.max(nextRevision, event.getKv().getModRevision() + 1);
            }
            if (response.getCreated()) {
                reopenMs = MIN_REOPEN_MS;
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
            case UNRECOGNIZED -> throw new IllegalStateException("unknown event " + event);
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
                stream.cancel("watch was not created in time", null);
            }
        }

        @Override
        public void onMessage(EtcdProto.WatchResponse response) {
            if (response.getCanceled()) {
                lose(
                        response.getCompactRevision() > 0
                                ? "compacted up to " + response.getCompactRevision()
                                : "cancelled: " + response.getCancelReason());
                return;
            }
            created = true;
            take(response);
            stream.request(1);
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
            reopenLater(status);
        }
    }
}
