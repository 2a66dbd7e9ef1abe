package org.skylarkmast.log;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.event.KeyValuePair;

class KeyValueLayoutTest {
    private final KeyValueLayout layout = new KeyValueLayout();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "plain | plain",
                "a b | \"a b\"",
                "`` | \"\"",
                "a=b | \"a=b\"",
                "say \"x\" | \"say \\\"x\\\"\"",
                "`a\nb` | \"a\\nb\"",
                "`a\u0085b` | \"a\\u0085b\""
            })
    void quotesValuesWhenNeeded(String value, String expected) {
        LoggingEvent event = event(null);
        event.addKeyValuePair(new KeyValuePair("event", value));
        assertThat(layout.doLayout(event))
                .isEqualTo(
                        "time=2026-01-02T03:04:05.006Z level=INFO logger=Daemon event="
                                + expected
                                + "\n");
    }

    @Test
    void writesAnExceptionOnTheSameLine() {
        String line =
                layout.doLayout(
                        event(
                                new IllegalStateException(
                                        "a\nb", new IllegalArgumentException("reason"))));
        assertThat(line).contains("error=\"java.lang.IllegalStateException: a\\nb\"");
        assertThat(line).contains("cause=\"java.lang.IllegalArgumentException: reason\"");
        assertThat(line).contains("KeyValueLayoutTest");
        assertThat(line.indexOf('\n')).isEqualTo(line.length() - 1);
    }

    private static LoggingEvent event(Throwable thrown) {
        LoggerContext context = new LoggerContext();
        LoggingEvent event =
                new LoggingEvent(
                        "x", context.getLogger("org.a.Daemon"), Level.INFO, "", thrown, null);
        event.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"));
        return event;
    }
}
