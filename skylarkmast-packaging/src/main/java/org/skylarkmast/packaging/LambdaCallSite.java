package org.skylarkmast.packaging;

import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDesc;
import java.lang.constant.DirectMethodHandleDesc;
import java.lang.constant.MethodTypeDesc;
import java.util.List;
import java.util.Optional;

/**
 * A call site that creates an instance of a functional interface.
 *
 * @param interfaceType the functional interface
 * @param methodName name of its method
 * @param capturedTypes types of the values that the instance captures
 * @param erasedType type of the method as the interface declares it
 * @param actualType type of the method for the interface's type arguments
 * @param implementation the method that is called
 */
record LambdaCallSite(
        ClassDesc interfaceType,
        String methodName,
        List<ClassDesc> capturedTypes,
        MethodTypeDesc erasedType,
        MethodTypeDesc actualType,
        DirectMethodHandleDesc implementation) {
    private static final String METAFACTORY_OWNER = "Ljava/lang/invoke/LambdaMetafactory;";
    private static final String METAFACTORY_NAME = "metafactory";

    LambdaCallSite {
        capturedTypes = List.copyOf(capturedTypes);
    }

    /**
     * Returns the call site of an instruction, or empty if it is another one: that of a
     * serializable instance, of several interfaces, a switch or a concatenation.
     */
    static Optional<LambdaCallSite> of(InvokeDynamicInstruction instruction) {
        DirectMethodHandleDesc bootstrap = instruction.bootstrapMethod();
        if (!bootstrap.owner().descriptorString().equals(METAFACTORY_OWNER)
                || !bootstrap.methodName().equals(METAFACTORY_NAME)) {
            return Optional.empty();
        }
        List<ConstantDesc> arguments = instruction.bootstrapArgs();
        DirectMethodHandleDesc implementation = (DirectMethodHandleDesc) arguments.get(1);
        if (implementation.owner().isArray()) {
            return Optional.empty();
        }
        return Optional.of(
                new LambdaCallSite(
                        instruction.typeSymbol().returnType(),
                        instruction.name().stringValue(),
                        instruction.typeSymbol().parameterList(),
                        (MethodTypeDesc) arguments.get(0),
                        (MethodTypeDesc) arguments.get(2),
                        implementation));
    }

    /** Returns the type of the method that creates an instance from the captured values. */
    MethodTypeDesc factoryType() {
        return MethodTypeDesc.of(interfaceType, capturedTypes);
    }
}
