package org.skylarkmast.rpc.etcd;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class LeaseGrpc {

  private LeaseGrpc() {}

  public static final java.lang.String SERVICE_NAME = "etcdserverpb.Lease";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse> getLeaseGrantMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "LeaseGrant",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse> getLeaseGrantMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse> getLeaseGrantMethod;
    if ((getLeaseGrantMethod = LeaseGrpc.getLeaseGrantMethod) == null) {
      synchronized (LeaseGrpc.class) {
        if ((getLeaseGrantMethod = LeaseGrpc.getLeaseGrantMethod) == null) {
          LeaseGrpc.getLeaseGrantMethod = getLeaseGrantMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "LeaseGrant"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse.getDefaultInstance()))
              .setSchemaDescriptor(new LeaseMethodDescriptorSupplier("LeaseGrant"))
              .build();
        }
      }
    }
    return getLeaseGrantMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse> getLeaseRevokeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "LeaseRevoke",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse> getLeaseRevokeMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse> getLeaseRevokeMethod;
    if ((getLeaseRevokeMethod = LeaseGrpc.getLeaseRevokeMethod) == null) {
      synchronized (LeaseGrpc.class) {
        if ((getLeaseRevokeMethod = LeaseGrpc.getLeaseRevokeMethod) == null) {
          LeaseGrpc.getLeaseRevokeMethod = getLeaseRevokeMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "LeaseRevoke"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse.getDefaultInstance()))
              .setSchemaDescriptor(new LeaseMethodDescriptorSupplier("LeaseRevoke"))
              .build();
        }
      }
    }
    return getLeaseRevokeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse> getLeaseKeepAliveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "LeaseKeepAlive",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse> getLeaseKeepAliveMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse> getLeaseKeepAliveMethod;
    if ((getLeaseKeepAliveMethod = LeaseGrpc.getLeaseKeepAliveMethod) == null) {
      synchronized (LeaseGrpc.class) {
        if ((getLeaseKeepAliveMethod = LeaseGrpc.getLeaseKeepAliveMethod) == null) {
          LeaseGrpc.getLeaseKeepAliveMethod = getLeaseKeepAliveMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "LeaseKeepAlive"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse.getDefaultInstance()))
              .setSchemaDescriptor(new LeaseMethodDescriptorSupplier("LeaseKeepAlive"))
              .build();
        }
      }
    }
    return getLeaseKeepAliveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse> getLeaseTimeToLiveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "LeaseTimeToLive",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse> getLeaseTimeToLiveMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse> getLeaseTimeToLiveMethod;
    if ((getLeaseTimeToLiveMethod = LeaseGrpc.getLeaseTimeToLiveMethod) == null) {
      synchronized (LeaseGrpc.class) {
        if ((getLeaseTimeToLiveMethod = LeaseGrpc.getLeaseTimeToLiveMethod) == null) {
          LeaseGrpc.getLeaseTimeToLiveMethod = getLeaseTimeToLiveMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "LeaseTimeToLive"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse.getDefaultInstance()))
              .setSchemaDescriptor(new LeaseMethodDescriptorSupplier("LeaseTimeToLive"))
              .build();
        }
      }
    }
    return getLeaseTimeToLiveMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static LeaseStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LeaseStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LeaseStub>() {
        @java.lang.Override
        public LeaseStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LeaseStub(channel, callOptions);
        }
      };
    return LeaseStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static LeaseBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LeaseBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LeaseBlockingV2Stub>() {
        @java.lang.Override
        public LeaseBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LeaseBlockingV2Stub(channel, callOptions);
        }
      };
    return LeaseBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static LeaseBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LeaseBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LeaseBlockingStub>() {
        @java.lang.Override
        public LeaseBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LeaseBlockingStub(channel, callOptions);
        }
      };
    return LeaseBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static LeaseFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<LeaseFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<LeaseFutureStub>() {
        @java.lang.Override
        public LeaseFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new LeaseFutureStub(channel, callOptions);
        }
      };
    return LeaseFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void leaseGrant(org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getLeaseGrantMethod(), responseObserver);
    }

    /**
     */
    default void leaseRevoke(org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getLeaseRevokeMethod(), responseObserver);
    }

    /**
     */
    default io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest> leaseKeepAlive(
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getLeaseKeepAliveMethod(), responseObserver);
    }

    /**
     */
    default void leaseTimeToLive(org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getLeaseTimeToLiveMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Lease.
   */
  public static abstract class LeaseImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return LeaseGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Lease.
   */
  public static final class LeaseStub
      extends io.grpc.stub.AbstractAsyncStub<LeaseStub> {
    private LeaseStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LeaseStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LeaseStub(channel, callOptions);
    }

    /**
     */
    public void leaseGrant(org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getLeaseGrantMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void leaseRevoke(org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getLeaseRevokeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest> leaseKeepAlive(
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getLeaseKeepAliveMethod(), getCallOptions()), responseObserver);
    }

    /**
     */
    public void leaseTimeToLive(org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getLeaseTimeToLiveMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Lease.
   */
  public static final class LeaseBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<LeaseBlockingV2Stub> {
    private LeaseBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LeaseBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LeaseBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse leaseGrant(org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getLeaseGrantMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse leaseRevoke(org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getLeaseRevokeMethod(), getCallOptions(), request);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest, org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse>
        leaseKeepAlive() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getLeaseKeepAliveMethod(), getCallOptions());
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse leaseTimeToLive(org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getLeaseTimeToLiveMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Lease.
   */
  public static final class LeaseBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<LeaseBlockingStub> {
    private LeaseBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LeaseBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LeaseBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse leaseGrant(org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getLeaseGrantMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse leaseRevoke(org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getLeaseRevokeMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse leaseTimeToLive(org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getLeaseTimeToLiveMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Lease.
   */
  public static final class LeaseFutureStub
      extends io.grpc.stub.AbstractFutureStub<LeaseFutureStub> {
    private LeaseFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected LeaseFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new LeaseFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse> leaseGrant(
        org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getLeaseGrantMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse> leaseRevoke(
        org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getLeaseRevokeMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse> leaseTimeToLive(
        org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getLeaseTimeToLiveMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_LEASE_GRANT = 0;
  private static final int METHODID_LEASE_REVOKE = 1;
  private static final int METHODID_LEASE_TIME_TO_LIVE = 2;
  private static final int METHODID_LEASE_KEEP_ALIVE = 3;

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
        case METHODID_LEASE_GRANT:
          serviceImpl.leaseGrant((org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse>) responseObserver);
          break;
        case METHODID_LEASE_REVOKE:
          serviceImpl.leaseRevoke((org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse>) responseObserver);
          break;
        case METHODID_LEASE_TIME_TO_LIVE:
          serviceImpl.leaseTimeToLive((org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse>) responseObserver);
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
        case METHODID_LEASE_KEEP_ALIVE:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.leaseKeepAlive(
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getLeaseGrantMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseGrantResponse>(
                service, METHODID_LEASE_GRANT)))
        .addMethod(
          getLeaseRevokeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseRevokeResponse>(
                service, METHODID_LEASE_REVOKE)))
        .addMethod(
          getLeaseKeepAliveMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseKeepAliveResponse>(
                service, METHODID_LEASE_KEEP_ALIVE)))
        .addMethod(
          getLeaseTimeToLiveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.LeaseTimeToLiveResponse>(
                service, METHODID_LEASE_TIME_TO_LIVE)))
        .build();
  }

  private static abstract class LeaseBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    LeaseBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.skylarkmast.rpc.etcd.EtcdProto.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Lease");
    }
  }

  private static final class LeaseFileDescriptorSupplier
      extends LeaseBaseDescriptorSupplier {
    LeaseFileDescriptorSupplier() {}
  }

  private static final class LeaseMethodDescriptorSupplier
      extends LeaseBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    LeaseMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (LeaseGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new LeaseFileDescriptorSupplier())
              .addMethod(getLeaseGrantMethod())
              .addMethod(getLeaseRevokeMethod())
              .addMethod(getLeaseKeepAliveMethod())
              .addMethod(getLeaseTimeToLiveMethod())
              .build();
        }
      }
    }
    return result;
  }
}
