package org.skylarkmast.daemon.store;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A plaintext connection to the service whose unary calls have a deadline; thread-safe. */
final class EtcdChannel implements AutoCloseable {

    /** Idle time after which a keep-alive probe is sent; etcd rejects intervals below 5 s. */
    private static final long KEEP_ALIVE_MS = 10_000;

    /**
     * Minimum interval between attempts to reconnect while calls fail. gRPC's own back-off grows to
     * two minutes, during which a service that has recovered would remain unused.
     */
    private static final long RECONNECT_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(500);

    private final long callTimeoutMs;
    private final ExecutorService executor;
    private final ManagedChannel channel;
    private final AtomicLong reconnectedAtNs;

    EtcdChannel(List<String> endpoints, long callTimeoutMs) {
        this.callTimeoutMs = callTimeoutMs;
        this.executor = Executors.newVirtualThreadPerTaskExecutor();
        this.channel =
                NettyChannelBuilder.forTarget(EndpointListResolverProvider.target(endpoints))
                        .usePlaintext()
                        .executor(executor)
                        .disableRetry()
                        .maxInboundMessageSize(Integer.MAX_VALUE)
                        .keepAliveTime(KEEP_ALIVE_MS, TimeUnit.MILLISECONDS)
                        .keepAliveTimeout(callTimeoutMs, TimeUnit.MILLISECONDS)
                        .build();
        this.reconnectedAtNs = new AtomicLong(System.nanoTime());
    }

    /** Sends {@code request} and waits for the first response or the failure. */
    <Q, A> CallResult<A> call(MethodDescriptor<Q, A> method, Q request) {
        CallStreamTracer tracer = new CallStreamTracer();
        CallOptions options =
                CallOptions.DEFAULT
                        .withDeadlineAfter(callTimeoutMs, TimeUnit.MILLISECONDS)
                        .withStreamTracerFactory(tracer);
        ClientCall<Q, A> call = channel.newCall(method, options);
        ResponseListener<A> listener = new ResponseListener<>(tracer);
        call.start(listener, new Metadata());
        call.request(2);
        call.sendMessage(request);
        call.halfClose();
        CallResult<A> result = await(call, listener.result, tracer);
        if (result instanceof CallResult.Failed<A> failed && !failed.sent()) {
            reconnect();
        }
        return result;
    }

    /** Creates a call without a deadline, for a watch. */
    <Q, A> ClientCall<Q, A> open(MethodDescriptor<Q, A> method) {
        return channel.newCall(method, CallOptions.DEFAULT);
    }

    /** Attempts to connect now, at most once per reconnect interval. */
    void reconnect() {
        long lastNs = reconnectedAtNs.get();
        long nowNs = System.nanoTime();
        if (nowNs - lastNs >= RECONNECT_INTERVAL_NS
                && reconnectedAtNs.compareAndSet(lastNs, nowNs)) {
            channel.resetConnectBackoff();
        }
    }

    @Override
    public void close() {
        channel.shutdownNow();
        executor.shutdown();
    }

    private static <A> CallResult<A> await(
            ClientCall<?, A> call,
            CompletableFuture<CallResult<A>> result,
            CallStreamTracer tracer) {
        try {
            return result.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            call.cancel("interrupted", e);
            return new CallResult.Failed<>(Status.CANCELLED, tracer.sent(), false);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Completes the result with the response message or with the failure. */
    private static final class ResponseListener<A> extends ClientCall.Listener<A> {
        private final CallStreamTracer tracer;
        private final CompletableFuture<CallResult<A>> result = new CompletableFuture<>();

        private A message;

        ResponseListener(CallStreamTracer tracer) {
            this.tracer = tracer;
        }

        @Override
        public void onMessage(A received) {
            message = received;
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
            if (status.isOk() && message != null) {
                result.complete(new CallResult.Answered<>(message));
                return;
            }
            Status failure =
                    status.isOk() ? Status.INTERNAL.withDescription("no response message") : status;
            result.complete(
                    new CallResult.Failed<>(failure, tracer.sent(), tracer.endedByServer()));
        }
    }
}
