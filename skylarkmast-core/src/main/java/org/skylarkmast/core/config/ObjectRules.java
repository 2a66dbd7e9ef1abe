package org.skylarkmast.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates single objects: names, quantities, addresses and digests. */
final class ObjectRules {
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");
    private static final Pattern VERSION = Pattern.compile("[!-~]{1,63}");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#]]{0,255}");

    private final DeclaredObject declared;
    private final List<Problem> problems = new ArrayList<>();

    private ObjectRules(DeclaredObject declared) {
        this.declared = declared;
    }

    /** Returns all problems of {@code declared} that do not depend on other objects. */
    static List<Problem> check(DeclaredObject declared) {
        ObjectRules rules = new ObjectRules(declared);
        rules.requireName("name", declared.object().name());
        switch (declared.object()) {
            case Workspace workspace -> rules.checkWorkspace(workspace);
            case ProgramTemplate program -> rules.checkProgram(program);
            case Target target -> rules.checkTarget(target);
            case Model model -> rules.checkModel(model);
            case Budget budget -> rules.checkBudget(budget);
            case Priority priority -> rules.requireAtLeast("maxWaitMs", priority.maxWaitMs(), 1);
        }
        return rules.problems;
    }

    private void checkWorkspace(Workspace workspace) {
        requirePositive("weight", workspace.weight());
        requireAtLeast("maxConcurrentCalls", workspace.maxConcurrentCalls(), 1);
        requireAtLeast("maxQueuedCalls", workspace.maxQueuedCalls(), 0);
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
        requireDistinct("keySha256", workspace.keySha256());
    }

    private void checkProgram(ProgramTemplate program) {
        requireAtLeast("maxTurns", program.maxTurns(), 1);
        requireAtLeast("maxSubAgentDepth", program.maxSubAgentDepth(), 0);
        requireAtLeast("callTimeoutMs", program.callTimeoutMs(), 1);
        requireAtLeast("idleExpiryMs", program.idleExpiryMs(), 1);
        requireDistinct("models", program.models());
        requireDistinct("services", program.services());
    }

    private void checkModel(Model model) {
        require(
                VERSION.matcher(model.version()).matches(),
                "version",
                "1 to 63 visible ASCII characters",
                quoted(model.version()));
        requireAtLeast("contextTokens", model.contextTokens(), 1);
        requireAtLeast("maxOutputTokens", model.maxOutputTokens(), 1);
        require(
                model.maxOutputTokens() <= model.contextTokens(),
                "maxOutputTokens",
                "at most contextTokens (" + model.contextTokens() + ")",
                model.maxOutputTokens());
    }

    private void checkBudget(Budget budget) {
        requireAtLeast("tokens", budget.tokens(), 0);
        requireAtLeast("serviceCalls", budget.serviceCalls(), 0);
        requireAtLeast("grantTokens", budget.grantTokens(), 1);
    }

    private void checkTarget(Target target) {
        boolean engine = target.kind() == Target.Kind.MODEL_ENGINE;
        requireDistinct("models", target.models());
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
            checkRunner("runners[" + i + "].", target.runners().get(i));
        }
        Set<String> seenOperations = new HashSet<>();
        for (int i = 0; i < target.operations().size(); i++) {
            checkOperation("operations[" + i + "].", target.operations().get(i), seenOperations);
        }
    }

    private void checkRunner(String prefix, Target.Runner runner) {
        requireName(prefix + "name", runner.name());
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
        requireAtLeast(prefix + "maxConcurrentCalls", runner.maxConcurrentCalls(), 1);
    }

    private void checkOperation(String prefix, Target.Operation operation, Set<String> seen) {
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

    private void requireName(String path, String name) {
        require(FieldFormats.isName(name), path, FieldFormats.NAME_FORM, quoted(name));
    }

    private void requireAtLeast(String path, long value, long minimum) {
        require(value >= minimum, path, "at least " + minimum, value);
    }

    private void requirePositive(String path, double value) {
        require(Double.isFinite(value) && value > 0, path, "above 0", value);
    }

    private void requireDistinct(String path, List<String> values) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < values.size(); i++) {
            String value = values.get(i);
            require(seen.add(value), path + "[" + i + "]", "each value once", quoted(value));
        }
    }

    private void require(boolean satisfied, String path, String expected, Object found) {
        if (!satisfied) {
            problems.add(declared.problem(path, "expected " + expected + ", found " + found));
        }
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }
}
