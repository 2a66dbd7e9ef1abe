package org.skylarkmast.packaging;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.IntToLongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Code with call sites of all kinds, whose results a test compares. */
public final class CallSiteSamples {
    private final int base;

    private CallSiteSamples(int base) {
        this.base = base;
    }

    /** Returns a result for each sample. */
    public static Map<String, Supplier<Object>> samples() {
        CallSiteSamples sample = new CallSiteSamples(40);
        return Map.ofEntries(
                Map.entry("captures primitives", () -> captures((byte) 1, 'c', 2L, 3.5, true)),
                Map.entry("private instance method", sample::privateMethod),
                Map.entry("captures this", sample::capturingThis),
                Map.entry("unbound receiver", () -> apply(String::length, "four")),
                Map.entry("bound receiver", () -> apply("abc"::concat, "d")),
                Map.entry("static method", () -> apply(Integer::parseInt, "12")),
                Map.entry("constructor", () -> ((Supplier<List<String>>) ArrayList::new).get()),
                Map.entry("private constructor", () -> make(CallSiteSamples::new, 5).base),
                Map.entry("unboxes", () -> unbox(x -> x + 1)),
                Map.entry("boxes and widens", CallSiteSamples::boxAndWiden),
                Map.entry("drops a result", CallSiteSamples::dropResult),
                Map.entry("interface", () -> ((Greeter) () -> "you").greet("hello")),
                Map.entry("nested class", () -> new Nested<>("n").describe()),
                Map.entry("streams", CallSiteSamples::streams),
                Map.entry("throws", CallSiteSamples::throwing),
                Map.entry("concatenation", () -> concatenation((byte) 1, (short) 2, 'x', null)),
                Map.entry("constants", () -> "\1" + sample.base + "\2" + 1.5f + "\1\2"),
                Map.entry("type switch", CallSiteSamples::typeSwitches),
                Map.entry("record", () -> new Pair("a", 1).toString()));
    }

    private static Object captures(byte b, char c, long l, double d, boolean z) {
        Supplier<String> all = () -> b + "," + c + "," + l + "," + d + "," + z;
        LongSupplier sum = () -> b + l;
        BooleanSupplier not = () -> !z;
        return all.get() + sum.getAsLong() + not.getAsBoolean();
    }

    private Object privateMethod() {
        IntFunction<Object> addition = this::add;
        return addition.apply(2);
    }

    private int add(int more) {
        return base + more;
    }

    private Object capturingThis() {
        Supplier<Supplier<Integer>> nested = () -> () -> base * 2;
        return nested.get().get();
    }

    private static <T, R> R apply(Function<T, R> function, T value) {
        return function.apply(value);
    }

    private static CallSiteSamples make(IntFunction<CallSiteSamples> factory, int value) {
        return factory.apply(value);
    }

    private static int unbox(UnaryOperator<Integer> operator) {
        return operator.apply(41);
    }

    private static Object boxAndWiden() {
        ToDoubleFunction<String> length = String::length;
        IntToLongFunction square = i -> (long) i * i;
        ToIntFunction<Character> code = c -> c;
        BiFunction<Integer, Long, Object> sum = (a, b) -> a + b;
        IntPredicate even = i -> i % 2 == 0;
        return length.applyAsDouble("abc")
                + square.applyAsLong(7)
                + code.applyAsInt('a')
                + (Long) sum.apply(1, 2L)
                + (even.test(4) ? 1 : 0);
    }

    private static Object dropResult() {
        List<String> values = new ArrayList<>();
        Consumer<String> add = values::add;
        add.accept("x");
        return values;
    }

    private static Object streams() {
        return IntStream.range(0, 10)
                .boxed()
                .sorted(Comparator.comparing((Integer i) -> i % 3).thenComparing(i -> -i))
                .map(i -> "v" + i)
                .collect(Collectors.joining("-"));
    }

    private static Object throwing() {
        Callable<Object> callable =
                () -> {
                    throw new IllegalStateException("expected");
                };
        try {
            return callable.call();
        } catch (Exception e) {
            return e.getMessage();
        }
    }

    private static String concatenation(byte b, short s, char c, Object nothing) {
        char[] characters = {'o'};
        String text = "b" + b + s + c + nothing + 1L + 2.0 + false;
        return text + new Pair("p", characters.length);
    }

    private sealed interface Shape permits Circle, Square {}

    private record Circle(int radius) implements Shape {}

    private record Square(int side) implements Shape {}

    private record Pair(String name, int value) {}

    private static Object typeSwitches() {
        return size(new Circle(2)) + size(new Square(3)) + kind(5) + kind("s") + kind(null);
    }

    private static int size(Shape shape) {
        return switch (shape) {
            case Circle circle when circle.radius() > 100 -> -1;
            case Circle circle -> circle.radius() * 3;
            case Square square -> square.side() * square.side();
        };
    }

    private static String kind(Object value) {
        return switch (value) {
            case null -> "nothing";
            case Integer number when number > 10 -> "large";
            case Integer number -> "number" + number;
            case CharSequence text -> "text" + text;
            default -> "other";
        };
    }

    /** An interface with a call site in a default method. */
    @FunctionalInterface
    private interface Greeter {
        String name();

        default String greet(String greeting) {
            Supplier<String> text = () -> greeting + " " + decorated();
            return text.get();
        }

        private String decorated() {
            UnaryOperator<String> decoration = value -> "*" + value + "*";
            return decoration.apply(name());
        }
    }

    /** A class whose nest has another host. */
    private static final class Nested<T extends Comparable<T>> {
        private final T value;

        private Nested(T value) {
            this.value = value;
        }

        private String describe() {
            Function<T, String> text = this::text;
            return text.apply(value);
        }

        private String text(T other) {
            return "nested " + value.compareTo(other);
        }
    }
}
