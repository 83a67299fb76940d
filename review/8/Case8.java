import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** All gateways are killed at once in the middle of a program, and start again. */
public final class Case8 {
  private static final int TURNS = 8;
  private static final int TURNS_BEFORE = 2;
  private static final int TRIES = 6;
  private static final int EVENTS = 32;
  private static final int TURN_TOKENS = 576;
  private static final int BUDGET_TOKENS = TURNS * TURN_TOKENS;
  private static final long DOWN_MS = 1_000;
  private static final long CALM_MS = 8_000;
  private static final long WAIT_MS = 4_000;

  private static List<Harness.Gateway> gateways;
  private static int firstTurns;
  private static int firstTurnsRun;

  public static void main(String[] arguments) {
    Case.run(arguments, Case8::breaksRule);
  }

  private static boolean breaksRule(Harness harness, boolean hasTrouble) throws Exception {
    for (int i = 0; i < 4; i++) {
      new Runner(harness, "m-" + i, "models", harness.host(31 + i), 0, Runner.stream(EVENTS, 5)).register(24);
    }
    String route =
        Harness.route("r1", "/quote/", "streaming", "models", (int) WAIT_MS, "")
            .replace("\"retained\":false", "\"retained\":true");
    String service = Harness.service("models").replace("\"tls\":false", "\"tls\":false," + Harness.ENGINE);
    harness.store.put("op", "config", Harness.config(1, route, service, Harness.tenant(200, 200)));
    gateways = harness.startGateways(2);
    Thread.sleep(5_000);

    String previous = null;
    for (int turn = 1; turn <= TURNS; turn++) {
      previous = turn(harness, turn, previous);
      if (previous == null) {
        harness.record("turn " + turn + " reached no runner in " + TRIES + " tries");
        harness.record((turn - 1) * TURN_TOKENS + " of " + BUDGET_TOKENS + " tokens are spent");
        harness.record(firstTurnsRun + " of " + firstTurns + " first turns reached one");
        return firstTurnsRun * 10 >= firstTurns * 9;
      }
      if (turn == TURNS_BEFORE) {
        if (hasTrouble) killAll(harness);
        Thread.sleep(CALM_MS);
      }
    }
    return false;
  }

  private static void killAll(Harness harness) throws Exception {
    for (Harness.Gateway gateway : gateways) gateway.signal("KILL");
    harness.record("kill all gateways");
    Thread.sleep(DOWN_MS);
    List<Harness.Gateway> started = new ArrayList<>();
    for (Harness.Gateway gateway : gateways) started.add(harness.startGateway(gateway.name(), gateway.ip()));
    for (Harness.Gateway gateway : started) harness.awaitReady(gateway);
    harness.record("all gateways are ready again");
    gateways = started;
  }

  /** Sends a turn until it is answered whole, and returns its id, or null if none of the tries reached a runner. */
  private static String turn(Harness harness, int turn, String previous) throws Exception {
    for (int attempt = 0; attempt < TRIES; attempt++) {
      Harness.Gateway gateway = gateways.get((turn + attempt) % gateways.size());
      String id = "turn-" + turn + "-" + attempt;
      Http.Message answer = send(harness, gateway, id, "p1", previous);
      if (answer != null && answer.status() == 200 && answer.isComplete) return id;
      if (harness.hasRun(id)) throw new IOException("the turn ran, but was not answered whole");
      // The first turn of another program, at the same gateway.
      String other = "other-" + turn + "-" + attempt;
      send(harness, gateway, other, other, null);
      firstTurns++;
      if (harness.hasRun(other)) firstTurnsRun++;
      Thread.sleep(300);
    }
    return null;
  }

  private static Http.Message send(
      Harness harness, Harness.Gateway gateway, String id, String program, String previous) throws IOException {
    String headers = Caller.turnHeaders(program, BUDGET_TOKENS, TURN_TOKENS, previous);
    try (Caller caller = new Caller(harness, gateway, 0)) {
      caller.send("POST", "/quote/chair", id, WAIT_MS, headers, new byte[1_000]);
      return caller.receive(id);
    }
  }
}
