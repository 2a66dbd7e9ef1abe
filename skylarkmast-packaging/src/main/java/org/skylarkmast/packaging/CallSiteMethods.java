package org.skylarkmast.packaging;

import java.lang.classfile.ClassFile;
import java.lang.classfile.CodeBuilder;
import java.lang.classfile.Label;
import java.lang.classfile.TypeKind;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDesc;
import java.lang.constant.ConstantDescs;
import java.lang.constant.DirectMethodHandleDesc;
import java.lang.constant.MethodTypeDesc;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Static methods that take the place of a class's concatenations of strings and switches over
 * types. Not thread-safe.
 */
final class CallSiteMethods {
    private static final String CONCAT_OWNER = "Ljava/lang/invoke/StringConcatFactory;";
    private static final String CONCAT_NAME = "makeConcatWithConstants";
    private static final String SWITCH_OWNER = "Ljava/lang/runtime/SwitchBootstraps;";
    private static final String SWITCH_NAME = "typeSwitch";

    /** In the recipe of a concatenation: the next argument. */
    private static final char ARGUMENT = '\1';

    /** In the recipe of a concatenation: the next constant. */
    private static final char CONSTANT = '\2';

    private static final ClassDesc BUILDER = ClassDesc.of("java.lang.StringBuilder");
    private static final int NULL_CASE = -1;

    private final ClassDesc name;
    private final ClassFile classFiles;
    private final List<StaticMethod> methods = new ArrayList<>();

    /** A method of the new class. */
    record StaticMethod(String name, MethodTypeDesc type, Consumer<CodeBuilder> body) {}

    /**
     * @param name the class that gets the methods
     */
    CallSiteMethods(ClassDesc name, ClassFile classFiles) {
        this.name = name;
        this.classFiles = classFiles;
    }

    ClassDesc name() {
        return name;
    }

    boolean isEmpty() {
        return methods.isEmpty();
    }

    /** Whether a call site can be replaced by a method. */
    static boolean covers(InvokeDynamicInstruction instruction) {
        return isConcatenation(instruction) || isTypeSwitch(instruction);
    }

    private static boolean isConcatenation(InvokeDynamicInstruction instruction) {
        return isBootstrappedBy(instruction, CONCAT_OWNER, CONCAT_NAME)
                && instruction.bootstrapArgs().stream().allMatch(String.class::isInstance);
    }

    private static boolean isTypeSwitch(InvokeDynamicInstruction instruction) {
        return isBootstrappedBy(instruction, SWITCH_OWNER, SWITCH_NAME)
                && instruction.typeSymbol().parameterType(0).isClassOrInterface()
                && instruction.bootstrapArgs().stream().allMatch(ClassDesc.class::isInstance);
    }

    private static boolean isBootstrappedBy(
            InvokeDynamicInstruction instruction, String owner, String method) {
        DirectMethodHandleDesc bootstrap = instruction.bootstrapMethod();
        return bootstrap.owner().descriptorString().equals(owner)
                && bootstrap.methodName().equals(method);
    }

    /** Adds the method for a call site, or returns empty if there can be none. */
    Optional<StaticMethod> add(InvokeDynamicInstruction instruction) {
        if (!covers(instruction)) {
            return Optional.empty();
        }
        MethodTypeDesc type = instruction.typeSymbol();
        List<ConstantDesc> arguments = instruction.bootstrapArgs();
        Consumer<CodeBuilder> body =
                isConcatenation(instruction)
                        ? code -> writeConcatenation(code, type, arguments)
                        : code -> writeTypeSwitch(code, arguments);
        StaticMethod method = new StaticMethod("site" + methods.size(), type, body);
        methods.add(method);
        return Optional.of(method);
    }

    /** Returns the class file. */
    byte[] write() {
        return classFiles.build(
                name,
                builder -> {
                    builder.withVersion(ClassFile.JAVA_11_VERSION, 0);
                    builder.withFlags(
                            ClassFile.ACC_FINAL | ClassFile.ACC_SUPER | ClassFile.ACC_SYNTHETIC);
                    for (StaticMethod method : methods) {
                        builder.withMethodBody(
                                method.name(), method.type(), ClassFile.ACC_STATIC, method.body());
                    }
                });
    }

    private static void writeConcatenation(
            CodeBuilder code, MethodTypeDesc type, List<ConstantDesc> arguments) {
        code.new_(BUILDER);
        code.dup();
        code.invokespecial(BUILDER, "<init>", MethodTypeDesc.of(ConstantDescs.CD_void));
        String recipe = (String) arguments.getFirst();
        StringBuilder literal = new StringBuilder();
        int nextConstant = 1;
        int nextArgument = 0;
        int slot = 0;
        for (int i = 0; i < recipe.length(); i++) {
            char symbol = recipe.charAt(i);
            if (symbol == CONSTANT) {
                literal.append((String) arguments.get(nextConstant++));
            } else if (symbol == ARGUMENT) {
                appendLiteral(code, literal);
                ClassDesc argument = type.parameterType(nextArgument++);
                TypeKind kind = TypeKind.from(argument);
                code.loadLocal(kind, slot);
                slot += kind.slotSize();
                append(code, appendedType(argument));
            } else {
                literal.append(symbol);
            }
        }
        appendLiteral(code, literal);
        code.invokevirtual(BUILDER, "toString", MethodTypeDesc.of(ConstantDescs.CD_String));
        code.areturn();
    }

    private static void appendLiteral(CodeBuilder code, StringBuilder literal) {
        if (!literal.isEmpty()) {
            code.loadConstant(literal.toString());
            append(code, ConstantDescs.CD_String);
            literal.setLength(0);
        }
    }

    private static void append(CodeBuilder code, ClassDesc type) {
        code.invokevirtual(BUILDER, "append", MethodTypeDesc.of(BUILDER, type));
    }

    private static ClassDesc appendedType(ClassDesc argument) {
        if (argument.equals(ConstantDescs.CD_byte) || argument.equals(ConstantDescs.CD_short)) {
            return ConstantDescs.CD_int;
        }
        return argument.isPrimitive() || argument.equals(ConstantDescs.CD_String)
                ? argument
                : ConstantDescs.CD_Object;
    }

    /** Returns the index of the first matching type from the second argument on. */
    private static void writeTypeSwitch(CodeBuilder code, List<ConstantDesc> types) {
        Label notNull = code.newLabel();
        code.aload(0);
        code.ifnonnull(notNull);
        code.loadConstant(NULL_CASE);
        code.ireturn();
        code.labelBinding(notNull);
        for (int i = 0; i < types.size(); i++) {
            Label next = code.newLabel();
            code.iload(1);
            code.loadConstant(i);
            code.if_icmpgt(next);
            code.aload(0);
            code.instanceOf((ClassDesc) types.get(i));
            code.ifeq(next);
            code.loadConstant(i);
            code.ireturn();
            code.labelBinding(next);
        }
        code.loadConstant(types.size());
        code.ireturn();
    }
}
