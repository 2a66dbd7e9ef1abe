package org.skylarkmast.rpc.etcd;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class KVGrpc {

  private KVGrpc() {}

  public static final java.lang.String SERVICE_NAME = "etcdserverpb.KV";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse> getRangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Range",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse> getRangeMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest, org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse> getRangeMethod;
    if ((getRangeMethod = KVGrpc.getRangeMethod) == null) {
      synchronized (KVGrpc.class) {
        if ((getRangeMethod = KVGrpc.getRangeMethod) == null) {
          KVGrpc.getRangeMethod = getRangeMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest, org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Range"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KVMethodDescriptorSupplier("Range"))
              .build();
        }
      }
    }
    return getRangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.PutRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.PutResponse> getPutMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Put",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.PutRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.PutResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.PutRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.PutResponse> getPutMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.PutRequest, org.skylarkmast.rpc.etcd.EtcdProto.PutResponse> getPutMethod;
    if ((getPutMethod = KVGrpc.getPutMethod) == null) {
      synchronized (KVGrpc.class) {
        if ((getPutMethod = KVGrpc.getPutMethod) == null) {
          KVGrpc.getPutMethod = getPutMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.PutRequest, org.skylarkmast.rpc.etcd.EtcdProto.PutResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Put"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.PutRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.PutResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KVMethodDescriptorSupplier("Put"))
              .build();
        }
      }
    }
    return getPutMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse> getDeleteRangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "DeleteRange",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse> getDeleteRangeMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest, org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse> getDeleteRangeMethod;
    if ((getDeleteRangeMethod = KVGrpc.getDeleteRangeMethod) == null) {
      synchronized (KVGrpc.class) {
        if ((getDeleteRangeMethod = KVGrpc.getDeleteRangeMethod) == null) {
          KVGrpc.getDeleteRangeMethod = getDeleteRangeMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest, org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "DeleteRange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KVMethodDescriptorSupplier("DeleteRange"))
              .build();
        }
      }
    }
    return getDeleteRangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse> getTxnMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Txn",
      requestType = org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest.class,
      responseType = org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest,
      org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse> getTxnMethod() {
    io.grpc.MethodDescriptor<org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest, org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse> getTxnMethod;
    if ((getTxnMethod = KVGrpc.getTxnMethod) == null) {
      synchronized (KVGrpc.class) {
        if ((getTxnMethod = KVGrpc.getTxnMethod) == null) {
          KVGrpc.getTxnMethod = getTxnMethod =
              io.grpc.MethodDescriptor.<org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest, org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Txn"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KVMethodDescriptorSupplier("Txn"))
              .build();
        }
      }
    }
    return getTxnMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static KVStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KVStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KVStub>() {
        @java.lang.Override
        public KVStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KVStub(channel, callOptions);
        }
      };
    return KVStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static KVBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KVBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KVBlockingV2Stub>() {
        @java.lang.Override
        public KVBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KVBlockingV2Stub(channel, callOptions);
        }
      };
    return KVBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static KVBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KVBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KVBlockingStub>() {
        @java.lang.Override
        public KVBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KVBlockingStub(channel, callOptions);
        }
      };
    return KVBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static KVFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KVFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KVFutureStub>() {
        @java.lang.Override
        public KVFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KVFutureStub(channel, callOptions);
        }
      };
    return KVFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void range(org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRangeMethod(), responseObserver);
    }

    /**
     */
    default void put(org.skylarkmast.rpc.etcd.EtcdProto.PutRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.PutResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPutMethod(), responseObserver);
    }

    /**
     */
    default void deleteRange(org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDeleteRangeMethod(), responseObserver);
    }

    /**
     */
    default void txn(org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTxnMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service KV.
   */
  public static abstract class KVImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return KVGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service KV.
   */
  public static final class KVStub
      extends io.grpc.stub.AbstractAsyncStub<KVStub> {
    private KVStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KVStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KVStub(channel, callOptions);
    }

    /**
     */
    public void range(org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void put(org.skylarkmast.rpc.etcd.EtcdProto.PutRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.PutResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPutMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void deleteRange(org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDeleteRangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void txn(org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest request,
        io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTxnMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service KV.
   */
  public static final class KVBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<KVBlockingV2Stub> {
    private KVBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KVBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KVBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse range(org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRangeMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.PutResponse put(org.skylarkmast.rpc.etcd.EtcdProto.PutRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPutMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse deleteRange(org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDeleteRangeMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse txn(org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTxnMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service KV.
   */
  public static final class KVBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<KVBlockingStub> {
    private KVBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KVBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KVBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse range(org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRangeMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.PutResponse put(org.skylarkmast.rpc.etcd.EtcdProto.PutRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPutMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse deleteRange(org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDeleteRangeMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse txn(org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTxnMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service KV.
   */
  public static final class KVFutureStub
      extends io.grpc.stub.AbstractFutureStub<KVFutureStub> {
    private KVFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KVFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KVFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse> range(
        org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRangeMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.etcd.EtcdProto.PutResponse> put(
        org.skylarkmast.rpc.etcd.EtcdProto.PutRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPutMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse> deleteRange(
        org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDeleteRangeMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse> txn(
        org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTxnMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_RANGE = 0;
  private static final int METHODID_PUT = 1;
  private static final int METHODID_DELETE_RANGE = 2;
  private static final int METHODID_TXN = 3;

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
        case METHODID_RANGE:
          serviceImpl.range((org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse>) responseObserver);
          break;
        case METHODID_PUT:
          serviceImpl.put((org.skylarkmast.rpc.etcd.EtcdProto.PutRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.PutResponse>) responseObserver);
          break;
        case METHODID_DELETE_RANGE:
          serviceImpl.deleteRange((org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse>) responseObserver);
          break;
        case METHODID_TXN:
          serviceImpl.txn((org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest) request,
              (io.grpc.stub.StreamObserver<org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse>) responseObserver);
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
          getRangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.RangeRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.RangeResponse>(
                service, METHODID_RANGE)))
        .addMethod(
          getPutMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.PutRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.PutResponse>(
                service, METHODID_PUT)))
        .addMethod(
          getDeleteRangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.DeleteRangeResponse>(
                service, METHODID_DELETE_RANGE)))
        .addMethod(
          getTxnMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.skylarkmast.rpc.etcd.EtcdProto.TxnRequest,
              org.skylarkmast.rpc.etcd.EtcdProto.TxnResponse>(
                service, METHODID_TXN)))
        .build();
  }

  private static abstract class KVBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    KVBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.skylarkmast.rpc.etcd.EtcdProto.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("KV");
    }
  }

  private static final class KVFileDescriptorSupplier
      extends KVBaseDescriptorSupplier {
    KVFileDescriptorSupplier() {}
  }

  private static final class KVMethodDescriptorSupplier
      extends KVBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    KVMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (KVGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new KVFileDescriptorSupplier())
              .addMethod(getRangeMethod())
              .addMethod(getPutMethod())
              .addMethod(getDeleteRangeMethod())
              .addMethod(getTxnMethod())
              .build();
        }
      }
    }
    return result;
  }
}
