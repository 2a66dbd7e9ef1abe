package org.skylarkmast.core.config;

import java.util.List;

/** A small valid set of objects, and methods that parse and validate such sets, for tests. */
final class SampleObjects {
    static final String DIGEST = "ab".repeat(32);

    static final String VALID_SET =
            """
            [
              // one of each kind
              {"kind": "workspace", "name": "bangkok", "keySha256": ["%s"]},
              {"kind": "model", "name": "m", "version": "v1",
               "contextTokens": 8000, "maxOutputTokens": 1000},
              {"kind": "budget", "name": "b", "tokens": 20000, "serviceCalls": 4},
              {"kind": "priority", "name": "p", "level": 5, "maxWaitMs": 10000},
              {"kind": "target", "name": "engines", "type": "model-engine", "models": ["m"],
               "runners": [{"name": "e1", "address": "10.0.0.1:80", "failureDomain": "bkk-1"}]},
              {"kind": "target", "name": "jobs", "type": "plain-service",
               "runners": [{"name": "j1", "address": "[fd00::1]:80", "failureDomain": "bkk-1"}],
               "operations": [{"method": "POST", "path": "/orders"}]},
              {"kind": "program", "name": "intake", "workspace": "bangkok", "models": ["m"],
               "services": ["jobs"], "budget": "b", "priority": "p"},
            ]
            """
                    .formatted(DIGEST);

    private SampleObjects() {}

    static List<DeclaredObject> declared(String text) {
        return switch (ObjectParser.parse("test.json", text)) {
            case ParseOutcome.Parsed parsed -> parsed.objects();
            case ParseOutcome.Rejected rejected ->
                    throw new AssertionError(rejected.problems().toString());
        };
    }

    static Configuration configuration(long revision, String text) {
        return switch (ConfigurationValidator.validate(revision, declared(text))) {
            case ValidationOutcome.Valid valid -> valid.configuration();
            case ValidationOutcome.Invalid invalid ->
                    throw new AssertionError(invalid.problems().toString());
        };
    }
}
