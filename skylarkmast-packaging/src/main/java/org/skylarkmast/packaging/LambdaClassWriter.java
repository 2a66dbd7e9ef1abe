package org.skylarkmast.packaging;

import java.lang.classfile.ClassBuilder;
import java.lang.classfile.ClassFile;
import java.lang.classfile.CodeBuilder;
import java.lang.classfile.Opcode;
import java.lang.classfile.TypeKind;
import java.lang.classfile.attribute.NestHostAttribute;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDescs;
import java.lang.constant.DirectMethodHandleDesc;
import java.lang.constant.MethodTypeDesc;
import java.util.List;
import java.util.Map;

/** Writes the class that takes the place of a {@link LambdaCallSite}. */
final class LambdaClassWriter {
    /** Name of the method that creates an instance. */
    static final String FACTORY = "create";

    private static final String INSTANCE = "INSTANCE";
    private static final String CONSTRUCTOR = "<init>";
    private static final MethodTypeDesc NO_ARGUMENTS = MethodTypeDesc.of(ConstantDescs.CD_void);

    private static final Map<ClassDesc, ClassDesc> WRAPPERS =
            Map.of(
                    ConstantDescs.CD_boolean, ConstantDescs.CD_Boolean,
                    ConstantDescs.CD_byte, ConstantDescs.CD_Byte,
                    ConstantDescs.CD_char, ConstantDescs.CD_Character,
                    ConstantDescs.CD_short, ConstantDescs.CD_Short,
                    ConstantDescs.CD_int, ConstantDescs.CD_Integer,
                    ConstantDescs.CD_long, ConstantDescs.CD_Long,
                    ConstantDescs.CD_float, ConstantDescs.CD_Float,
                    ConstantDescs.CD_double, ConstantDescs.CD_Double);

    private final ClassDesc name;
    private final ClassDesc nestHost;
    private final LambdaCallSite site;

    /**
     * @param nestHost host of the nest that may call the private method of the call site
     */
    LambdaClassWriter(ClassDesc name, ClassDesc nestHost, LambdaCallSite site) {
        this.name = name;
        this.nestHost = nestHost;
        this.site = site;
    }

    /** Returns the class file. */
    byte[] write() {
        return ClassFile.of()
                .build(
                        name,
                        builder -> {
                            builder.withVersion(ClassFile.JAVA_11_VERSION, 0);
                            builder.withFlags(
                                    ClassFile.ACC_FINAL
                                            | ClassFile.ACC_SUPER
                                            | ClassFile.ACC_SYNTHETIC);
                            builder.withInterfaceSymbols(site.interfaceType());
                            builder.with(NestHostAttribute.of(nestHost));
                            writeConstructor(builder);
                            writeFactory(builder);
                            writeMethod(builder);
                        });
    }

    private static String field(int index) {
        return "captured" + index;
    }

    private void writeConstructor(ClassBuilder builder) {
        List<ClassDesc> captured = site.capturedTypes();
        for (int i = 0; i < captured.size(); i++) {
            builder.withField(
                    field(i), captured.get(i), ClassFile.ACC_PRIVATE | ClassFile.ACC_FINAL);
        }
        builder.withMethodBody(
                CONSTRUCTOR,
                constructorType(),
                ClassFile.ACC_PRIVATE,
                code -> {
                    code.aload(0);
                    code.invokespecial(ConstantDescs.CD_Object, CONSTRUCTOR, NO_ARGUMENTS);
                    int slot = 1;
                    for (int i = 0; i < captured.size(); i++) {
                        TypeKind kind = TypeKind.from(captured.get(i));
                        code.aload(0);
                        code.loadLocal(kind, slot);
                        code.putfield(name, field(i), captured.get(i));
                        slot += kind.slotSize();
                    }
                    code.return_();
                });
    }

    private MethodTypeDesc constructorType() {
        return MethodTypeDesc.of(ConstantDescs.CD_void, site.capturedTypes());
    }

    /** Without captured values there is one instance, as the Java runtime has it. */
    private void writeFactory(ClassBuilder builder) {
        boolean shared = site.capturedTypes().isEmpty();
        if (shared) {
            builder.withField(INSTANCE, name, ClassFile.ACC_STATIC | ClassFile.ACC_FINAL);
            builder.withMethodBody(
                    "<clinit>",
                    NO_ARGUMENTS,
                    ClassFile.ACC_STATIC,
                    code -> {
                        create(code);
                        code.putstatic(name, INSTANCE, name);
                        code.return_();
                    });
        }
        builder.withMethodBody(
                FACTORY,
                site.factoryType(),
                ClassFile.ACC_STATIC,
                code -> {
                    if (shared) {
                        code.getstatic(name, INSTANCE, name);
                    } else {
                        create(code);
                    }
                    code.areturn();
                });
    }

    private void create(CodeBuilder code) {
        code.new_(name);
        code.dup();
        int slot = 0;
        for (ClassDesc type : site.capturedTypes()) {
            TypeKind kind = TypeKind.from(type);
            code.loadLocal(kind, slot);
            slot += kind.slotSize();
        }
        code.invokespecial(name, CONSTRUCTOR, constructorType());
    }

    private void writeMethod(ClassBuilder builder) {
        builder.withMethodBody(
                site.methodName(), site.erasedType(), ClassFile.ACC_PUBLIC, this::writeBody);
    }

    private void writeBody(CodeBuilder code) {
        DirectMethodHandleDesc implementation = site.implementation();
        MethodTypeDesc target = implementation.invocationType();
        boolean constructs = implementation.kind() == DirectMethodHandleDesc.Kind.CONSTRUCTOR;
        if (constructs) {
            code.new_(implementation.owner());
            code.dup();
        }
        List<ClassDesc> captured = site.capturedTypes();
        for (int i = 0; i < captured.size(); i++) {
            code.aload(0);
            code.getfield(name, field(i), captured.get(i));
            convert(code, captured.get(i), captured.get(i), target.parameterType(i));
        }
        int slot = 1;
        for (int i = 0; i < site.erasedType().parameterCount(); i++) {
            ClassDesc erased = site.erasedType().parameterType(i);
            TypeKind kind = TypeKind.from(erased);
            code.loadLocal(kind, slot);
            slot += kind.slotSize();
            convert(
                    code,
                    erased,
                    site.actualType().parameterType(i),
                    target.parameterType(captured.size() + i));
        }
        invoke(code);
        writeReturn(code, constructs ? implementation.owner() : target.returnType());
    }

    private void invoke(CodeBuilder code) {
        DirectMethodHandleDesc implementation = site.implementation();
        Opcode opcode =
                switch (implementation.kind()) {
                    case STATIC, INTERFACE_STATIC -> Opcode.INVOKESTATIC;
                    case CONSTRUCTOR -> Opcode.INVOKESPECIAL;
                    // A private method, which a member of its nest calls like any other.
                    case VIRTUAL, SPECIAL -> Opcode.INVOKEVIRTUAL;
                    case INTERFACE_VIRTUAL, INTERFACE_SPECIAL -> Opcode.INVOKEINTERFACE;
                    case GETTER, SETTER, STATIC_GETTER, STATIC_SETTER ->
                            throw new IllegalArgumentException(
                                    "a call site with a field: " + implementation);
                };
        code.invoke(
                opcode,
                implementation.owner(),
                implementation.methodName(),
                MethodTypeDesc.ofDescriptor(implementation.lookupDescriptor()),
                implementation.isOwnerInterface());
    }

    private void writeReturn(CodeBuilder code, ClassDesc result) {
        ClassDesc wanted = site.erasedType().returnType();
        if (wanted.equals(ConstantDescs.CD_void)) {
            switch (TypeKind.from(result).slotSize()) {
                case 0 -> {}
                case 1 -> code.pop();
                default -> code.pop2();
            }
            code.return_();
            return;
        }
        convert(code, result, result, wanted);
        code.return_(TypeKind.from(wanted));
    }

    /**
     * Converts the value on the stack as an assignment does.
     *
     * @param erased its declared type
     * @param actual what it is known to be
     */
    private static void convert(
            CodeBuilder code, ClassDesc erased, ClassDesc actual, ClassDesc wanted) {
        if (erased.isPrimitive() && wanted.isPrimitive()) {
            widen(code, erased, wanted);
        } else if (erased.isPrimitive()) {
            ClassDesc wrapper = WRAPPERS.get(erased);
            code.invokestatic(wrapper, "valueOf", MethodTypeDesc.of(wrapper, erased));
        } else if (wanted.isPrimitive()) {
            ClassDesc primitive = WRAPPERS.containsValue(actual) ? unwrapped(actual) : wanted;
            ClassDesc wrapper = WRAPPERS.get(primitive);
            if (!erased.equals(wrapper)) {
                code.checkcast(wrapper);
            }
            code.invokevirtual(
                    wrapper, primitive.displayName() + "Value", MethodTypeDesc.of(primitive));
            widen(code, primitive, wanted);
        } else if (!erased.equals(wanted) && !wanted.equals(ConstantDescs.CD_Object)) {
            code.checkcast(wanted);
        }
    }

    private static void widen(CodeBuilder code, ClassDesc from, ClassDesc to) {
        TypeKind fromKind = TypeKind.from(from).asLoadable();
        TypeKind toKind = TypeKind.from(to).asLoadable();
        if (fromKind != toKind) {
            code.conversion(fromKind, toKind);
        }
    }

    private static ClassDesc unwrapped(ClassDesc wrapper) {
        for (Map.Entry<ClassDesc, ClassDesc> entry : WRAPPERS.entrySet()) {
            if (entry.getValue().equals(wrapper)) {
                return entry.getKey();
            }
        }
        throw new IllegalArgumentException("not a wrapper: " + wrapper);
    }
}
