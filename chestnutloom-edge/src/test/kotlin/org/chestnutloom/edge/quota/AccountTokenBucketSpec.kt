package org.chestnutloom.edge.quota

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RateLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMIT = RateLimit(ratePerSecond = 100.0, burst = 50)
private val TICK = 10.milliseconds
private const val TICKS_PER_BEAT = 10

/** Gateways that each meter one account and tell each other what they admitted, regularly and when it is much. */
private class MeteredFleet(
    private val size: Int,
) {
    val meters = List(size) { AccountTokenBucket(LIMIT, Duration.ZERO) }
    var now = Duration.ZERO
        private set
    val admitted = ArrayList<Duration>()

    /** Offers [perBeat] requests in each beat to each of [loaded] for [duration]; [isCut] ones hear and tell nothing. */
    fun run(
        duration: Duration,
        perBeat: Int,
        loaded: Set<Int>,
        isCut: (Int) -> Boolean = { false },
    ) {
        val end = now + duration
        var tick = 0
        while (now < end) {
            now += TICK
            tick++
            val before = perBeat * (tick - 1) / TICKS_PER_BEAT
            loaded.forEach { offer(it, perBeat * tick / TICKS_PER_BEAT - before) }
            exchange(isBeat = tick % TICKS_PER_BEAT == 0, isCut)
        }
    }

    private fun offer(
        gateway: Int,
        requests: Int,
    ) {
        repeat(requests) { if (meters[gateway].tryAcquire(now)) admitted += now }
    }

    private fun exchange(
        isBeat: Boolean,
        isCut: (Int) -> Boolean,
    ) {
        val telling = (0 until size).filter { isBeat || meters[it].isReportDue(size) }
        for (from in telling) {
            val taken = meters[from].report()
            (0 until size).filter { it != from }.forEach { tell(from, it, taken, isCut) }
        }
    }

    private fun tell(
        from: Int,
        to: Int,
        taken: Long,
        isCut: (Int) -> Boolean,
    ) {
        val id = GatewayId("g$from")
        if (isCut(from) || isCut(to)) {
            meters[to].peerSilent(id, size, now)
        } else {
            meters[to].recordPeerUsage(id, "1", taken, now)
        }
    }

    /** The most requests that were admitted in any [window]. */
    fun mostIn(window: Duration): Int =
        admitted.maxOfOrNull { start -> admitted.count { it >= start && it < start + window } } ?: 0
}

class AccountTokenBucketSpec :
    DescribeSpec({
        // What the fleet may admit in five seconds, with a tenth and 20 requests of tolerance.
        val mostInWindow = ((5 * 100 + 50) * 1.1 + 20).toInt()

        describe("the pattern of one account that sends many times its rate") {
            it("stays within rate and burst when all gateways are asked") {
                val fleet = MeteredFleet(6)
                fleet.run(2.seconds, perBeat = 0, loaded = setOf())
                fleet.run(10.seconds, perBeat = 20, loaded = (0..5).toSet())
                fleet.mostIn(5.seconds) shouldBeLessThanOrEqual mostInWindow
                fleet.admitted.size shouldBeGreaterThan 950
            }

            it("gives one gateway the whole rate when the others are idle") {
                val fleet = MeteredFleet(6)
                fleet.run(1.seconds, perBeat = 0, loaded = setOf())
                fleet.run(10.seconds, perBeat = 9, loaded = setOf(2))
                fleet.admitted.size shouldBe 900
            }

            it("stays within rate and burst while gateways cannot hear each other") {
                val fleet = MeteredFleet(6)
                fleet.run(2.seconds, perBeat = 0, loaded = setOf())
                fleet.run(10.seconds, perBeat = 20, loaded = (0..5).toSet()) { it in 0..2 }
                fleet.mostIn(5.seconds) shouldBeLessThanOrEqual mostInWindow
            }

            it("stays within rate and burst when the silence ends") {
                val fleet = MeteredFleet(6)
                fleet.run(2.seconds, perBeat = 0, loaded = setOf())
                fleet.run(4.seconds, perBeat = 20, loaded = (0..5).toSet()) { it in 0..2 }
                fleet.run(6.seconds, perBeat = 20, loaded = (0..5).toSet())
                fleet.mostIn(5.seconds) shouldBeLessThanOrEqual mostInWindow
            }
        }

        describe("a meter that was just made") {
            it("admits nothing yet, since it does not know what was used before") {
                AccountTokenBucket(LIMIT, 1.seconds).tryAcquire(1.seconds) shouldBe false
            }
        }
    })
