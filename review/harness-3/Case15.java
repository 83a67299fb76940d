package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** A route for turns is added while one gateway is partitioned from the store; a program's second turn arrives there. */
final class Case15 extends Case {
  private static final int PROGRAMS = 4;
  private static final int CUT_MS = 5_500;
  private static final int BUDGET = 4_608;
  private static final int MOST = 576;

  private final Deployment deployment = new Deployment(this);
  private int whole = 0;

  private Case15(Path record) throws IOException {
    super(record);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new Case15(Path.of(arguments[0])).run());
  }

  @Override
  void play() throws Exception {
    for (int i = 0; i < 3; i++) deployment.addGateway();
    for (int i = 0; i < 3; i++) deployment.addRunner("models", 12, (run, out) -> Runner.stream(run, out, 1, 5, 20));
    deployment.configure(7);
    deployment.start();
    Gateway first = deployment.gateways.get(0);
    Gateway cut = deployment.gateways.get(1);
    long cutAt = recorder.nowMs();
    if (!isCalm) {
      cut.way.isCut = true;
      recorder.write("store: " + cut.name + " is partitioned from it");
    }
    deployment.addRoute(Deployment.NEW_CHAT);
    deployment.configure(8);
    recorder.write("operator: version 8 with the route " + Deployment.NEW_CHAT + " is acknowledged");
    // The client learns of the route, and has it served by the first gateway before it goes on.
    Threads.sleep(100);
    for (int i = 0; i < PROGRAMS; i++) program("p" + i, first, cut);
    Threads.sleep(cutAt + CUT_MS - recorder.nowMs());
    cut.way.isCut = false;
    recorder.write("store: reached by all");
    Threads.sleep(3_000);
    program("late", first, cut);
    if (whole < PROGRAMS) throw new CannotRun("too few turns were answered whole");
  }

  private void program(String program, Gateway first, Gateway second) {
    Client.Answer answer = turn(first, program, program + "-t1", null);
    if (!answer.isSuccess()) return;
    whole++;
    Client.Answer next = turn(second, program, program + "-t2", program + "-t1");
    if (next.status() == 404 || next.status() == 410) {
      broken("turn " + program + "-t2 got " + next.status() + ", though it names " + program + "-t1, which was answered whole");
    }
  }

  private Client.Answer turn(Gateway gateway, String program, String id, String previous) {
    Map<String, String> headers = Deployment.turn(id, program, "a", BUDGET, MOST, previous);
    recorder.write("client: sends " + id + " to " + gateway.name + (previous == null ? "" : ", after " + previous));
    byte[] body = ("input of " + id).getBytes(StandardCharsets.UTF_8);
    Client.Answer answer =
        Client.send(gateway.address, gateway.callerPort, "POST", Deployment.NEW_CHAT + "a", headers, body, 3_500);
    recorder.write("client: " + id + " got " + answer);
    return answer;
  }
}
