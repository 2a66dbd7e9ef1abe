package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Checks objects one by one: names, quantities, addresses and digests. */
final class ObjectRules {
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");
    private static final Pattern VERSION = Pattern.compile("[!-~]{1,63}");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#]]{0,255}");

    private final DeclaredObject declared;
    private final List<Problem> problems = new ArrayList<>();

    private ObjectRules(DeclaredObject declared) {
        this.declared = declared;
    }

    /** All problems of {@code declared} taken by itself. */
    static List<Problem> check(DeclaredObject declared) {
        ObjectRules rules = new ObjectRules(declared);
        rules.name("name", declared.object().name());
        switch (declared.object()) {
            case Workspace workspace -> rules.workspace(workspace);
            case ProgramTemplate program -> rules.program(program);
            case Target target -> rules.target(target);
            case Model model -> rules.model(model);
            case Budget budget -> rules.budget(budget);
            case Priority priority -> rules.atLeast("maxWaitMs", priority.maxWaitMs(), 1);
        }
        return rules.problems;
    }

    private void workspace(Workspace workspace) {
        positive("weight", workspace.weight());
        atLeast("maxConcurrentCalls", workspace.maxConcurrentCalls(), 1);
        atLeast("maxQueuedCalls", workspace.maxQueuedCalls(), 0);
        double cacheWeight = workspace.cacheWeight();
        require(
                Double.isFinite(cacheWeight) && cacheWeight >= 0,
                "cacheWeight",
                "at least 0",
                cacheWeight);
        for (int i = 0; i < workspace.keySha256().size(); i++) {
            String digest = workspace.keySha256().get(i);
            require(
                    FieldFormats.isSha256(digest),
                    "keySha256[" + i + "]",
                    FieldFormats.SHA256_FORM,
                    quoted(digest));
        }
        distinct("keySha256", workspace.keySha256());
    }

    private void program(ProgramTemplate program) {
        atLeast("maxTurns", program.maxTurns(), 1);
        atLeast("maxSubAgentDepth", program.maxSubAgentDepth(), 0);
        atLeast("callTimeoutMs", program.callTimeoutMs(), 1);
        atLeast("idleExpiryMs", program.idleExpiryMs(), 1);
        distinct("models", program.models());
        distinct("services", program.services());
    }

    private void model(Model model) {
        require(
                VERSION.matcher(model.version()).matches(),
                "version",
                "1 to 63 visible ASCII characters",
                quoted(model.version()));
        atLeast("contextTokens", model.contextTokens(), 1);
        atLeast("maxOutputTokens", model.maxOutputTokens(), 1);
        require(
                model.maxOutputTokens() <= model.contextTokens(),
                "maxOutputTokens",
                "at most contextTokens (" + model.contextTokens() + ")",
                model.maxOutputTokens());
    }

    private void budget(Budget budget) {
        atLeast("tokens", budget.tokens(), 0);
        atLeast("serviceCalls", budget.serviceCalls(), 0);
        atLeast("grantTokens", budget.grantTokens(), 1);
    }

    private void target(Target target) {
        boolean engine = target.kind() == Target.Kind.MODEL_ENGINE;
        distinct("models", target.models());
        if (engine) {
            require(!target.models().isEmpty(), "models", "at least one model", "none");
            require(
                    target.operations().isEmpty(),
                    "operations",
                    "no operations on a model engine",
                    target.operations().size());
        } else {
            require(
                    target.models().isEmpty(),
                    "models",
                    "no models on a plain service",
                    target.models().size());
            require(!target.operations().isEmpty(), "operations", "at least one", "none");
        }
        for (int i = 0; i < target.runners().size(); i++) {
            runner("runners[" + i + "].", target.runners().get(i));
        }
        Set<String> operations = new HashSet<>();
        for (int i = 0; i < target.operations().size(); i++) {
            operation("operations[" + i + "].", target.operations().get(i), operations);
        }
    }

    private void runner(String prefix, Target.Runner runner) {
        name(prefix + "name", runner.name());
        require(
                FieldFormats.isAddress(runner.address()),
                prefix + "address",
                FieldFormats.ADDRESS_FORM,
                quoted(runner.address()));
        require(
                FieldFormats.isFailureDomain(runner.failureDomain()),
                prefix + "failureDomain",
                FieldFormats.FAILURE_DOMAIN_FORM,
                quoted(runner.failureDomain()));
        atLeast(prefix + "maxConcurrentCalls", runner.maxConcurrentCalls(), 1);
    }

    private void operation(String prefix, Target.Operation operation, Set<String> seen) {
        require(
                METHOD.matcher(operation.method()).matches(),
                prefix + "method",
                "an HTTP method in capitals",
                quoted(operation.method()));
        require(
                PATH.matcher(operation.path()).matches(),
                prefix + "path",
                "a path from / without query, blanks or fragment",
                quoted(operation.path()));
        String key = operation.method() + " " + operation.path();
        require(seen.add(key), prefix + "path", "each operation once", quoted(key));
    }

    private void name(String path, String name) {
        require(FieldFormats.isName(name), path, FieldFormats.NAME_FORM, quoted(name));
    }

    private void atLeast(String path, long value, long least) {
        require(value >= least, path, "at least " + least, value);
    }

    private void positive(String path, double value) {
        require(Double.isFinite(value) && value > 0, path, "above 0", value);
    }

    private void distinct(String path, List<String> values) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < values.size(); i++) {
            String value = values.get(i);
            require(seen.add(value), path + "[" + i + "]", "each value once", quoted(value));
        }
    }

    private void require(boolean holds, String path, String expected, Object found) {
        if (!holds) {
            problems.add(declared.problem(path, "expected " + expected + ", found " + found));
        }
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }
}
