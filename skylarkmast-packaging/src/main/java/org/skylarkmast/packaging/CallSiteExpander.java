package org.skylarkmast.packaging;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.lang.classfile.Attributes;
import java.lang.classfile.ClassFile;
import java.lang.classfile.ClassFileVersion;
import java.lang.classfile.ClassHierarchyResolver;
import java.lang.classfile.ClassModel;
import java.lang.classfile.ClassTransform;
import java.lang.classfile.CodeBuilder;
import java.lang.classfile.CodeElement;
import java.lang.classfile.MethodModel;
import java.lang.classfile.attribute.NestMembersAttribute;
import java.lang.classfile.constantpool.ClassEntry;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Replaces call sites that the Java runtime links when they are first used: lambda expressions and
 * method references by classes of their own, concatenations of strings and switches over types by
 * static methods.
 *
 * <p>The runtime creates a class for each of them, which costs a program most of its start. Call
 * sites of other kinds stay as they are.
 */
public final class CallSiteExpander {
    private static final String LAMBDA_MARKER = "$Lambda$";
    private static final String METHODS_MARKER = "$CallSites";

    /** The classes by internal name, such as {@code org/example/Name}. */
    private final Map<String, byte[]> classes;

    private final ClassFile classFiles;
    private final Map<String, List<ClassDesc>> newMembersByHost = new HashMap<>();
    private final Map<String, String> skipped = new HashMap<>();

    /**
     * @param classes class files by internal name; with what they refer to, as far as it does not
     *     belong to the Java runtime
     */
    public CallSiteExpander(Map<String, byte[]> classes) {
        this.classes = new HashMap<>(classes);
        this.classFiles =
                ClassFile.of(
                        ClassFile.ClassHierarchyResolverOption.of(
                                ClassHierarchyResolver.ofResourceParsing(this::open)
                                        .orElse(ClassHierarchyResolver.defaultResolver())));
    }

    private InputStream open(ClassDesc type) {
        byte[] bytes = classes.get(internalName(type));
        return bytes == null ? null : new ByteArrayInputStream(bytes);
    }

    private static String internalName(ClassDesc type) {
        String descriptor = type.descriptorString();
        return descriptor.substring(1, descriptor.length() - 1);
    }

    /** Returns the classes that were left as they are, with the reasons. */
    public Map<String, String> skipped() {
        return Map.copyOf(skipped);
    }

    /** Returns all classes as they are after the replacement, with the new ones. */
    public Map<String, byte[]> expand() {
        for (String name : List.copyOf(classes.keySet())) {
            expand(name);
        }
        newMembersByHost.forEach(this::addMembers);
        return Map.copyOf(classes);
    }

    private void expand(String name) {
        ClassModel model = classFiles.parse(classes.get(name));
        if (!hasCallSites(model)) {
            return;
        }
        ClassDesc owner = model.thisClass().asSymbol();
        ClassDesc host =
                model.findAttribute(Attributes.nestHost())
                        .map(attribute -> attribute.nestHost().asSymbol())
                        .orElse(owner);
        Replacement replacement =
                new Replacement(
                        owner,
                        host,
                        new LinkedHashMap<>(),
                        new CallSiteMethods(
                                ClassDesc.ofInternalName(name + METHODS_MARKER), classFiles));
        ClassTransform transform =
                ClassTransform.transformingMethodBodies(
                        (code, element) -> replace(code, element, replacement));
        byte[] rewritten;
        try {
            rewritten = classFiles.transformClass(model, transform.andThen(withNestVersion(model)));
        } catch (IllegalArgumentException e) {
            // It refers to a library that is not there, so nobody uses it.
            skipped.put(name, String.valueOf(e.getMessage()));
            return;
        }
        classes.put(name, rewritten);
        if (!replacement.methods().isEmpty()) {
            classes.put(name + METHODS_MARKER, replacement.methods().write());
        }
        if (!replacement.lambdas().isEmpty()) {
            replacement.lambdas().forEach((type, bytes) -> classes.put(internalName(type), bytes));
            newMembersByHost
                    .computeIfAbsent(internalName(host), _ -> new ArrayList<>())
                    .addAll(replacement.lambdas().keySet());
        }
    }

    /**
     * What takes the place of the call sites of one class.
     *
     * @param host host of its nest
     * @param lambdas classes of its lambda expressions, grows
     */
    private record Replacement(
            ClassDesc owner,
            ClassDesc host,
            Map<ClassDesc, byte[]> lambdas,
            CallSiteMethods methods) {}

    private static boolean hasCallSites(ClassModel model) {
        for (MethodModel method : model.methods()) {
            boolean found =
                    method.code().stream()
                            .flatMap(code -> code.elementStream())
                            .anyMatch(CallSiteExpander::isReplaced);
            if (found) {
                return true;
            }
        }
        return false;
    }

    private static boolean isReplaced(CodeElement element) {
        return element instanceof InvokeDynamicInstruction instruction
                && (LambdaCallSite.of(instruction).isPresent()
                        || CallSiteMethods.covers(instruction));
    }

    private void replace(CodeBuilder code, CodeElement element, Replacement replacement) {
        if (!(element instanceof InvokeDynamicInstruction instruction)) {
            code.with(element);
            return;
        }
        Optional<LambdaCallSite> lambda = LambdaCallSite.of(instruction);
        if (lambda.isPresent()) {
            String name =
                    internalName(replacement.owner())
                            + LAMBDA_MARKER
                            + replacement.lambdas().size();
            ClassDesc type = ClassDesc.ofInternalName(name);
            replacement
                    .lambdas()
                    .put(
                            type,
                            new LambdaClassWriter(type, replacement.host(), lambda.get()).write());
            code.invokestatic(type, LambdaClassWriter.FACTORY, lambda.get().factoryType());
            return;
        }
        Optional<CallSiteMethods.StaticMethod> method = replacement.methods().add(instruction);
        if (method.isPresent()) {
            code.invokestatic(
                    replacement.methods().name(), method.get().name(), method.get().type());
        } else {
            code.with(element);
        }
    }

    /** Raises the version of a class file to the first in which nests exist. */
    private static ClassTransform withNestVersion(ClassModel model) {
        return (builder, element) -> {
            boolean isOld =
                    element instanceof ClassFileVersion
                            && model.majorVersion() < ClassFile.JAVA_11_VERSION;
            builder.with(isOld ? ClassFileVersion.of(ClassFile.JAVA_11_VERSION, 0) : element);
        };
    }

    private void addMembers(String host, List<ClassDesc> added) {
        ClassModel model = classFiles.parse(classes.get(host));
        Set<ClassDesc> members = new LinkedHashSet<>();
        model.findAttribute(Attributes.nestMembers())
                .ifPresent(
                        attribute -> {
                            for (ClassEntry member : attribute.nestMembers()) {
                                members.add(member.asSymbol());
                            }
                        });
        members.addAll(added);
        ClassTransform transform =
                ClassTransform.dropping(element -> element instanceof NestMembersAttribute)
                        .andThen(withNestVersion(model))
                        .andThen(
                                ClassTransform.endHandler(
                                        builder ->
                                                builder.with(
                                                        NestMembersAttribute.ofSymbols(
                                                                List.copyOf(members)))));
        classes.put(host, classFiles.transformClass(model, transform));
    }
}
