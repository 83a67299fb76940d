package org.chestnutloom.fakes.launch

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.chestnutloom.fakes.StandInClient
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

private const val KILLED = 137
private const val TERMINATED = 143

private fun stateOf(pid: Long): String =
    Files
        .readString(Path.of("/proc/$pid/stat"))
        .substringAfterLast(')')
        .trim()
        .take(1)

private suspend fun awaitState(
    process: LaunchedProcess,
    expected: (String) -> Boolean,
) {
    eventually(30.seconds) { expected(stateOf(process.pid)) shouldBe true }
}

class ProcessLauncherSpec :
    DescribeSpec({
        val directory = tempdir().toPath()

        describe("a launched process") {
            it("reports its port and ends on SIGKILL and on SIGTERM") {
                processLauncher(directory).use { launcher ->
                    val table = launcher.start(standInProcess("table", "table"))
                    val tool = launcher.start(standInProcess("tool", "tool"))
                    val client = StandInClient(table.awaitListening().port())
                    client.send("/v1/read", """{"keys":[]}""").status shouldBe 200
                    tool.awaitListening().fields["role"] shouldBe "tool"
                    table.kill9()
                    table.awaitExit() shouldBe KILLED
                    tool.term()
                    tool.awaitExit() shouldBe TERMINATED
                }
            }

            it("can be suspended and resumed, and is killed when its launcher is closed") {
                val suspended =
                    processLauncher(directory).use { launcher ->
                        val process = launcher.start(standInProcess("vms", "vms"))
                        process.awaitListening()
                        process.stop()
                        awaitState(process) { it == "T" }
                        process.cont()
                        awaitState(process) { it != "T" }
                        process.stop()
                        process
                    }
                suspended.isAlive shouldBe false
            }

            it("that ends before it listens is reported with its exit code and output") {
                processLauncher(directory).use { launcher ->
                    val failed = launcher.start(standInProcess("failed", "no-such-command"))
                    val failure = shouldThrow<EventNotSeenException> { failed.awaitListening() }
                    failure.exitCode shouldBe failed.awaitExit()
                    failure.lastOutput shouldContain "Usage"
                }
            }
        }

        describe("an engine process") {
            it("accepts its flags, and has logged the request that crashes it") {
                processLauncher(directory).use { launcher ->
                    val log = directory.resolve("engine-requests.log")
                    val flags =
                        arrayOf("--max-batch", "2", "--prefill-tokens-per-second", "900.5", "--log-file", "$log")
                    val engine = launcher.start(standInProcess("engine", "engine", *flags))
                    val client = StandInClient(engine.awaitListening().port())
                    val body = """{"model":"m","messages":[{"role":"user","content":"CRASH-ENGINE"}]}"""
                    shouldThrow<IOException> { client.send("/v1/chat/completions", body) }
                    engine.awaitExit() shouldBe KILLED
                    Files.readString(log) shouldContain "CRASH-ENGINE"
                }
            }
        }

        describe("an event line") {
            it("is parsed with quoted values and a prefix") {
                val line = EventLine.parse("""12:00 INFO x - event=listening role=gateway port=12 note="a \"b\" c=d"""")
                line.event shouldBe "listening"
                line.port() shouldBe 12
                line.fields["note"] shouldBe """a "b" c=d"""
            }
        }
    })
