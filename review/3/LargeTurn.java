package review;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A turn whose body is within {@code maxBodyBytes}, but whose record exceeds the largest call of the store, is answered
 * whole. Then all gateways are killed at once, and the turn is continued.
 */
final class LargeTurn extends Case {
    private static final int LARGE_BYTES = 900_000;
    private static final int SMALL_BYTES = 17_000;

    public static void main(String[] arguments) {
        new LargeTurn().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        configure(0, 0, route("draft", "streaming", "llm", true));
        startRunners(3, "llm", 12, true, 120);
        startGateways(3);

        byte[] small = input('s', SMALL_BYTES);
        byte[] large = input('l', LARGE_BYTES);
        Client.Answer smallTurn = turn(0, "small turn", small, null);
        Client.Answer largeTurn = turn(0, "large turn", large, null);
        if (!smallTurn.isSuccess()) throw new IllegalStateException("the small turn was not answered whole");
        if (!largeTurn.isSuccess()) {
            recorder.log("the large turn was not answered whole, so nothing is owed for it");
            return true;
        }
        Runner.sleep(3_000);

        if (hasTrouble) {
            gateways.forEach(Gateway::kill);
            Runner.sleep(1_000);
            for (Gateway gateway : gateways) gateway.start();
            awaitReady();
            Runner.sleep(3_000);
        }
        boolean isSmallKept = continues(smallTurn, small);
        boolean isLargeKept = continues(largeTurn, large);
        if (!isSmallKept) recorder.log("the small turn, the control of this case, is lost too");
        return isSmallKept && isLargeKept;
    }

    /** Continues a turn at each gateway, and returns false if one of them answers 404 or 410, or runs another body. */
    private boolean continues(Client.Answer previous, byte[] input) {
        byte[] next = "and then?".getBytes(StandardCharsets.UTF_8);
        byte[] expected = concat(input, Runner.output(previous.id()).getBytes(StandardCharsets.UTF_8), next);
        boolean isKept = true;
        for (int gateway = 0; gateway < gateways.size(); gateway++) {
            Client.Answer answer = turn(gateway, "next turn", next, previous.id());
            if (answer.status() == 404 || answer.status() == 410) isKept = false;
            boolean isForeign = runners.stream().flatMap(it -> it.runs.stream())
                .anyMatch(it -> it.id().equals(answer.id()) && it.bodyHash() != Arrays.hashCode(expected));
            if (isForeign) {
                recorder.log("the body of " + answer.id() + " at the runner is not the chain");
                isKept = false;
            }
        }
        return isKept;
    }

    private static byte[] input(char letter, int size) {
        byte[] bytes = new byte[size];
        Arrays.fill(bytes, (byte) letter);
        return bytes;
    }

    private static byte[] concat(byte[]... parts) {
        int size = Arrays.stream(parts).mapToInt(it -> it.length).sum();
        byte[] all = new byte[size];
        int at = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, all, at, part.length);
            at += part.length;
        }
        return all;
    }
}
