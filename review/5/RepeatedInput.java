package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Programs of one tenant answer the agent's question with the same short input, such as "yes". One of seven runners
 * crashes while it runs such a turn, and later another one. Neither crash has to do with the turns. After the runners
 * are back, turns with that input are sent to all gateways.
 */
final class RepeatedInput extends Case {
    private static final byte[] YES = "yes, please go on".getBytes(StandardCharsets.UTF_8);
    private static final int RUNNERS = 7;
    private static final int PROGRAMS = 12;
    private static final long DOWN_MS = 4_500;
    private static final int TRIES = 6;

    private volatile boolean isLoadOn = true;

    public static void main(String[] arguments) {
        new RepeatedInput().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        configure(0, 0, route("draft", "streaming", "llm", true));
        startRunners(RUNNERS, "llm", 12, true, 400);
        startGateways(3);

        for (int i = 0; i < PROGRAMS; i++) {
            int gateway = i % gateways.size();
            HttpServerStandIn.daemon(() -> {
                while (isLoadOn) program(gateway);
            });
        }
        Runner.sleep(4_000);
        for (int crash = 0; crash < 2; crash++) {
            if (hasTrouble) crashOne();
            Runner.sleep(9_000);
        }
        isLoadOn = false;
        Runner.sleep(5_000);
        return check();
    }

    /** Crashes a runner that runs a turn with the repeated input, and starts it again later. */
    private void crashOne() throws Exception {
        Runner[] busy = new Runner[1];
        await(10, "a runner that runs the repeated input", () -> {
            double since = recorder.seconds() - 0.2;
            busy[0] = runners.stream()
                .filter(it -> it.runs.stream().anyMatch(run -> isYes(run) && run.atSeconds() > since))
                .findFirst().orElse(null);
            return busy[0] != null;
        });
        int port = busy[0].port();
        busy[0].kill();
        Runner.sleep(DOWN_MS);
        busy[0].start(port);
    }

    private static boolean isYes(Runner.Run run) {
        return run.previous() != null && run.bodyBytes() > YES.length;
    }

    /** A program of two turns; the client gives up after a failure. */
    private void program(int gateway) {
        Client.Answer first = turn(gateway, "load, first turn", newInput(), null);
        if (first.isSuccess()) turn(gateway, "load, yes", YES, first.id()); else Runner.sleep(200);
    }

    /** Sends first turns and continues them, and returns whether each turn reached a runner within its tries. */
    private boolean check() {
        List<Client.Answer> firstTurns = new ArrayList<>();
        int unreached = 0;
        for (int program = 0; program < 10; program++) {
            Client.Answer first = turn(program % gateways.size(), "check, first turn", newInput(), null);
            firstTurns.add(first);
            if (!first.isSuccess()) continue;
            if (!reachesRunner(first, YES, "check, yes")) unreached++;
            if (!reachesRunner(first, newInput(), "check, other input")) {
                recorder.log("a turn with another input, the control of this case, reached no runner either");
            }
        }
        long served = firstTurns.stream().filter(Client.Answer::isSuccess).count();
        recorder.log(served + " of 10 first turns were served; " + unreached
            + " turns with the repeated input reached no runner in " + TRIES + " tries");
        return unreached == 0 || served < 9;
    }

    private boolean reachesRunner(Client.Answer previous, byte[] input, String what) {
        List<String> tries = new ArrayList<>();
        for (int i = 0; i < TRIES; i++) {
            Client.Answer answer = turn(i % gateways.size(), what, input, previous.id());
            tries.add(answer.id());
            if (answer.isSuccess()) return true;
            Runner.sleep(150);
        }
        Set<String> ran =
            runners.stream().flatMap(it -> it.runs.stream()).map(Runner.Run::id).collect(Collectors.toSet());
        return tries.stream().anyMatch(ran::contains);
    }

    private static byte[] newInput() {
        byte[] bytes = new byte[2_000];
        Arrays.fill(bytes, (byte) 'q');
        byte[] id = Client.newId().getBytes(StandardCharsets.UTF_8);
        System.arraycopy(id, 0, bytes, 0, id.length);
        return bytes;
    }
}
