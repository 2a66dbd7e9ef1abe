package org.skylarkmast.rpc.peer;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "skylarkmast.peer.v1.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.CallRequest,
      org.skylarkmast.rpc.peer.PeerProto.CallReply> getCallMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Call",
      requestType = org.skylarkmast.rpc.peer.PeerProto.CallRequest.class,
      responseType = org.skylarkmast.rpc.peer.PeerProto.CallReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.CallRequest,
      org.skylarkmast.rpc.peer.PeerProto.CallReply> getCallMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.CallRequest, org.skylarkmast.rpc.peer.PeerProto.CallReply> getCallMethod;
    if ((getCallMethod = PeerGrpc.getCallMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getCallMethod = PeerGrpc.getCallMethod) == null) {
          PeerGrpc.getCallMethod = getCallMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.peer.PeerProto.CallRequest, org.skylarkmast.rpc.peer.PeerProto.CallReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Call"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.CallRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.CallReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Call"))
              .build();
        }
      }
    }
    return getCallMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest,
      org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply> getHeartbeatMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Heartbeat",
      requestType = org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest.class,
      responseType = org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest,
      org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply> getHeartbeatMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest, org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply> getHeartbeatMethod;
    if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
          PeerGrpc.getHeartbeatMethod = getHeartbeatMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest, org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Heartbeat"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Heartbeat"))
              .build();
        }
      }
    }
    return getHeartbeatMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest,
      org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply> getStoreCopiesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "StoreCopies",
      requestType = org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest.class,
      responseType = org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest,
      org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply> getStoreCopiesMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest, org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply> getStoreCopiesMethod;
    if ((getStoreCopiesMethod = PeerGrpc.getStoreCopiesMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getStoreCopiesMethod = PeerGrpc.getStoreCopiesMethod) == null) {
          PeerGrpc.getStoreCopiesMethod = getStoreCopiesMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest, org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "StoreCopies"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("StoreCopies"))
              .build();
        }
      }
    }
    return getStoreCopiesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest,
      org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply> getFetchCopiesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchCopies",
      requestType = org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest.class,
      responseType = org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest,
      org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply> getFetchCopiesMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest, org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply> getFetchCopiesMethod;
    if ((getFetchCopiesMethod = PeerGrpc.getFetchCopiesMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchCopiesMethod = PeerGrpc.getFetchCopiesMethod) == null) {
          PeerGrpc.getFetchCopiesMethod = getFetchCopiesMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest, org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchCopies"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchCopies"))
              .build();
        }
      }
    }
    return getFetchCopiesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest,
      org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply> getFetchConfigurationMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchConfiguration",
      requestType = org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest.class,
      responseType = org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest,
      org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply> getFetchConfigurationMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest, org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply> getFetchConfigurationMethod;
    if ((getFetchConfigurationMethod = PeerGrpc.getFetchConfigurationMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchConfigurationMethod = PeerGrpc.getFetchConfigurationMethod) == null) {
          PeerGrpc.getFetchConfigurationMethod = getFetchConfigurationMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest, org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchConfiguration"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchConfiguration"))
              .build();
        }
      }
    }
    return getFetchConfigurationMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     * <pre>
     * Forwards a caller's request to the owner of its program; the last reply is the final answer.
     * </pre>
     */
    default void call(org.skylarkmast.rpc.peer.PeerProto.CallRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.CallReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCallMethod(), responseObserver);
    }

    /**
     * <pre>
     * Exchanges liveness, load and the configuration revision.
     * </pre>
     */
    default void heartbeat(org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHeartbeatMethod(), responseObserver);
    }

    /**
     * <pre>
     * Keeps copies of journal entries while the key-value service cannot take them.
     * </pre>
     */
    default void storeCopies(org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getStoreCopiesMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns kept copies of one partition to its new owner.
     * </pre>
     */
    default void fetchCopies(org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchCopiesMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration in force at the peer.
     * </pre>
     */
    default void fetchConfiguration(org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchConfigurationMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Forwards a caller's request to the owner of its program; the last reply is the final answer.
     * </pre>
     */
    public void call(org.skylarkmast.rpc.peer.PeerProto.CallRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.CallReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getCallMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Exchanges liveness, load and the configuration revision.
     * </pre>
     */
    public void heartbeat(org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Keeps copies of journal entries while the key-value service cannot take them.
     * </pre>
     */
    public void storeCopies(org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getStoreCopiesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns kept copies of one partition to its new owner.
     * </pre>
     */
    public void fetchCopies(org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchCopiesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration in force at the peer.
     * </pre>
     */
    public void fetchConfiguration(org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchConfigurationMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Forwards a caller's request to the owner of its program; the last reply is the final answer.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.skylarkmast.rpc.peer.PeerProto.CallReply>
        call(org.skylarkmast.rpc.peer.PeerProto.CallRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getCallMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges liveness, load and the configuration revision.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply heartbeat(org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Keeps copies of journal entries while the key-value service cannot take them.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply storeCopies(org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getStoreCopiesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns kept copies of one partition to its new owner.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply fetchCopies(org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchCopiesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the configuration in force at the peer.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply fetchConfiguration(org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchConfigurationMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Forwards a caller's request to the owner of its program; the last reply is the final answer.
     * </pre>
     */
    public java.util.Iterator<org.skylarkmast.rpc.peer.PeerProto.CallReply> call(
        org.skylarkmast.rpc.peer.PeerProto.CallRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getCallMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges liveness, load and the configuration revision.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply heartbeat(org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Keeps copies of journal entries while the key-value service cannot take them.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply storeCopies(org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getStoreCopiesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns kept copies of one partition to its new owner.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply fetchCopies(org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchCopiesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the configuration in force at the peer.
     * </pre>
     */
    public org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply fetchConfiguration(org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigurationMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges liveness, load and the configuration revision.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply> heartbeat(
        org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Keeps copies of journal entries while the key-value service cannot take them.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply> storeCopies(
        org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getStoreCopiesMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns kept copies of one partition to its new owner.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply> fetchCopies(
        org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchCopiesMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the configuration in force at the peer.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply> fetchConfiguration(
        org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchConfigurationMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_CALL = 0;
  private static final int METHODID_HEARTBEAT = 1;
  private static final int METHODID_STORE_COPIES = 2;
  private static final int METHODID_FETCH_COPIES = 3;
  private static final int METHODID_FETCH_CONFIGURATION = 4;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_CALL:
          serviceImpl.call((org.skylarkmast.rpc.peer.PeerProto.CallRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.CallReply>) responseObserver);
          break;
        case METHODID_HEARTBEAT:
          serviceImpl.heartbeat((org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply>) responseObserver);
          break;
        case METHODID_STORE_COPIES:
          serviceImpl.storeCopies((org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply>) responseObserver);
          break;
        case METHODID_FETCH_COPIES:
          serviceImpl.fetchCopies((org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply>) responseObserver);
          break;
        case METHODID_FETCH_CONFIGURATION:
          serviceImpl.fetchConfiguration((org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getCallMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.skylarkmast.rpc.peer.PeerProto.CallRequest,
              org.skylarkmast.rpc.peer.PeerProto.CallReply>(
                service, METHODID_CALL)))
        .addMethod(
          getHeartbeatMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.peer.PeerProto.HeartbeatRequest,
              org.skylarkmast.rpc.peer.PeerProto.HeartbeatReply>(
                service, METHODID_HEARTBEAT)))
        .addMethod(
          getStoreCopiesMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.peer.PeerProto.StoreCopiesRequest,
              org.skylarkmast.rpc.peer.PeerProto.StoreCopiesReply>(
                service, METHODID_STORE_COPIES)))
        .addMethod(
          getFetchCopiesMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.peer.PeerProto.FetchCopiesRequest,
              org.skylarkmast.rpc.peer.PeerProto.FetchCopiesReply>(
                service, METHODID_FETCH_COPIES)))
        .addMethod(
          getFetchConfigurationMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationRequest,
              org.skylarkmast.rpc.peer.PeerProto.FetchConfigurationReply>(
                service, METHODID_FETCH_CONFIGURATION)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.skylarkmast.rpc.peer.PeerProto.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getCallMethod())
              .addMethod(getHeartbeatMethod())
              .addMethod(getStoreCopiesMethod())
              .addMethod(getFetchCopiesMethod())
              .addMethod(getFetchConfigurationMethod())
              .build();
        }
      }
    }
    return result;
  }
}
