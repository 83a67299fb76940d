package org.chestnutloom.edge.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.edge.http.HttpConnector
import org.chestnutloom.id.TargetId
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ID = TargetId("i-1")

private class FixedEvidence(
    override val runningAt: Duration,
    private val isConfirmedOnceAsked: Boolean,
) : RunEvidence {
    private var isAsked = false

    override val isConfirmed: Boolean
        get() = isAsked && isConfirmedOnceAsked

    override fun ask() {
        isAsked = true
    }
}

/** A probe of one target that listens until [listensUntilMs], in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
private class ProbeFixture(
    private val test: TestScope,
    loop: EdgeLoop,
    private val listensUntilMs: Long = Long.MAX_VALUE,
    private val connectTime: Duration = Duration.ZERO,
) {
    private val connector = HttpConnector(loop, VirtualClock(test), connectTimeout = 1.seconds)
    val directory = TargetDirectory(TargetFactory(connector, VirtualClock(test), test)) { 1_000L }
    val connectedAtMs = mutableListOf<Long>()
    private val probe =
        ListeningProbe(test, VirtualClock(test), directory) {
            connectedAtMs += test.currentTime
            delay(connectTime)
            test.currentTime < listensUntilMs
        }

    suspend fun isAlive(
        target: Target,
        runningAtMs: Long = test.currentTime,
        isConfirmed: Boolean = false,
    ): Boolean = probe.isAlive(target, FixedEvidence(runningAtMs.milliseconds, isConfirmed))

    fun register(
        startedAtEpochMs: Long,
        id: TargetId = ID,
    ): Target {
        val address = PeerAddress("127.0.0.1", 9)
        directory.update(TargetEntry(id, startedAtEpochMs, "models", address, "siracusa", 4, TargetStage.READY))
        return checkNotNull(directory[id])
    }
}

class ListeningProbeSpec :
    DescribeSpec({
        val loop = EdgeLoop()

        afterSpec { loop.close() }

        describe("a probe of a target whose connection has ended") {
            // Guards against a process that dies and still listens while it closes its connections.
            it("finds it dead if it listens for a little longer than its connection lasts") {
                runTest {
                    val fixture = ProbeFixture(this, loop, listensUntilMs = 15)
                    fixture.isAlive(fixture.register(1)) shouldBe false
                }
            }

            it("finds it alive if it accepts a connection") {
                runTest {
                    val fixture = ProbeFixture(this, loop)
                    fixture.isAlive(fixture.register(1)) shouldBe true
                }
            }

            it("is shared by connections that end together, but not by one that ends within the pause") {
                runTest {
                    val fixture = ProbeFixture(this, loop, listensUntilMs = 32)
                    val target = fixture.register(1)
                    val results =
                        listOf(0, 3, 4, 12).map { endsAtMs ->
                            async {
                                delay(endsAtMs.milliseconds)
                                fixture.isAlive(target)
                            }
                        }
                    results.awaitAll() shouldContainExactly listOf(true, true, true, false)
                    fixture.connectedAtMs shouldContainExactly listOf(25, 37)
                }
            }

            // Guards against a connection that ends long after its target, when another process listens there already.
            it("does not vouch for a target that was silent for longer than a restart may take") {
                runTest {
                    val fixture = ProbeFixture(this, loop)
                    val target = fixture.register(1)
                    delay(2.seconds)
                    fixture.isAlive(target, runningAtMs = 900) shouldBe false
                    fixture.isAlive(target, runningAtMs = 1_100) shouldBe true
                }
            }

            // Guards against a whole response that is broken off as it took longer than a restart.
            it("vouches for a target that still serves a connection which it accepted before") {
                runTest {
                    val fixture = ProbeFixture(this, loop)
                    val target = fixture.register(1)
                    delay(2.seconds)
                    fixture.isAlive(target, runningAtMs = 900, isConfirmed = true) shouldBe true
                }
            }

            // Guards against a gateway that stands still between the end and the probe while the target starts again.
            it("does not vouch for a target whose connection took longer than a restart may take") {
                runTest {
                    val fixture = ProbeFixture(this, loop, connectTime = 1.seconds)
                    fixture.isAlive(fixture.register(1)) shouldBe false
                }
            }

            // Guards against a whole response that is broken off because its target leaves and has removed its row.
            it("finds it alive if it goes on serving after its row was removed") {
                runTest {
                    val fixture = ProbeFixture(this, loop)
                    val leaving = fixture.register(1)
                    fixture.directory.remove(ID)
                    fixture.isAlive(leaving) shouldBe true
                }
            }

            // Guards against a connection that ends late, when another process listens at the address of a killed target.
            listOf(ID, TargetId("i-2")).forEach { successor ->
                it("does not take $successor for it, which registered its address before the connection ended") {
                    runTest {
                        val fixture = ProbeFixture(this, loop)
                        val killed = fixture.register(1)
                        fixture.directory.remove(ID)
                        fixture.register(2, successor)
                        fixture.isAlive(killed) shouldBe false
                    }
                }
            }

            // Guards against a whole response that is broken off because the address has the row of an earlier process.
            it("finds it alive if the address has the row of a target that started before it") {
                runTest {
                    val fixture = ProbeFixture(this, loop)
                    fixture.register(1, TargetId("i-0"))
                    fixture.isAlive(fixture.register(2)) shouldBe true
                }
            }

            // Guards against a target that has started again and listens at the address of the run that was killed.
            it("does not take another run of it for the one whose connection has ended") {
                runTest {
                    val fixture = ProbeFixture(this, loop)
                    val killed = fixture.register(1)
                    val isAlive = async { fixture.isAlive(killed) }
                    delay(10.milliseconds)
                    fixture.register(2)
                    isAlive.await() shouldBe false
                    fixture.connectedAtMs shouldContainExactly emptyList()
                }
            }
        }
    })
