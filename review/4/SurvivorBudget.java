package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Programs have run their first turn at one gateway and their second at another. Both of these machines are lost for
 * good. Later the programs, which have spent little of their budgets, go on at the gateway that is left.
 */
final class SurvivorBudget extends Case {
    private static final int PROGRAMS = 5;
    private static final int TRIES = 6;
    private static final int BUDGET_TOKENS = 4_576;
    private static final int MAX_TURN_TOKENS = 572;
    private static final int TOKENS_PER_EVENT = 22;

    private int served;
    private int unreached;

    public static void main(String[] arguments) {
        new SurvivorBudget().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        configure(0, 0, route("draft", "streaming", "llm", true));
        startRunners(3, "llm", 12, true, 120);
        startGateways(3);

        Map<String, Client.Answer> programs = new LinkedHashMap<>();
        for (int i = 0; i < PROGRAMS; i++) {
            String program = Client.newId().substring(0, 6);
            Client.Answer first = turn(1, program, null);
            programs.put(program, turn(2, program, first.id()));
        }
        if (programs.values().stream().anyMatch(it -> !it.isSuccess())) {
            throw new IllegalStateException("a turn before the loss was not served");
        }
        recorder.log("each program has spent " + 2 * Runner.EVENTS * TOKENS_PER_EVENT + " of " + BUDGET_TOKENS + " tokens");
        if (hasTrouble) {
            gateways.get(1).kill();
            gateways.get(2).kill();
        }
        for (int round = 0; round < 2; round++) {
            Runner.sleep(15_000);
            for (Map.Entry<String, Client.Answer> program : programs.entrySet()) {
                if (turn(0, Client.newId().substring(0, 6), null).isSuccess()) served++;
                if (!reachesRunner(program.getKey(), program.getValue().id())) unreached++;
            }
        }
        recorder.log(served + " of " + 2 * PROGRAMS + " first turns of new programs were served; " + unreached + " of "
            + 2 * PROGRAMS + " third turns reached no runner in " + TRIES + " tries");
        return unreached == 0 || served < 2 * PROGRAMS * 9 / 10;
    }

    private boolean reachesRunner(String program, String previous) {
        List<String> tries = new ArrayList<>();
        for (int i = 0; i < TRIES; i++) {
            Client.Answer answer = turn(0, program, previous);
            tries.add(answer.id());
            if (answer.isSuccess()) return true;
            Runner.sleep(200);
        }
        Set<String> ran =
            runners.stream().flatMap(it -> it.runs.stream()).map(Runner.Run::id).collect(Collectors.toSet());
        return tries.stream().anyMatch(ran::contains);
    }

    private Client.Answer turn(int gateway, String program, String previous) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Chestnutloom-Program-Id", program);
        headers.put("Chestnutloom-Session-Id", program);
        headers.put("Chestnutloom-Program-Deadline-Ms", "90000");
        headers.put("Chestnutloom-Token-Budget", "" + BUDGET_TOKENS);
        headers.put("Chestnutloom-Token-Usage", "1000," + MAX_TURN_TOKENS);
        headers.put("Chestnutloom-Prompt-Prefix", Client.newId() + ":1000");
        if (previous != null) headers.put("Chestnutloom-Previous-Turn", previous);
        byte[] body = ("input of " + program).getBytes(StandardCharsets.UTF_8);
        Client.Answer answer =
            Client.send(gateways.get(gateway).callers, "POST", "/draft/2f", KEY, 3_000, headers, body);
        recorder.log("program " + program + ": turn " + answer.id() + " at " + gateways.get(gateway).name
            + (previous == null ? "" : ", previous " + previous) + " -> " + answer);
        return answer;
    }
}
