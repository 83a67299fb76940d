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
private const val TICKS_PER_HEARTBEAT = 10

/** Gateways that limit one account and report their usage to each other, regularly and whenever a report is due. */
private class BucketFleet(
    private val size: Int,
) {
    val buckets = List(size) { AccountTokenBucket(LIMIT, Duration.ZERO) }
    var now = Duration.ZERO
        private set
    val admitted = ArrayList<Duration>()

    /**
     * Offers [perHeartbeat] requests per heartbeat interval to each of [loaded] for [duration]. Gateways for which
     * [isPartitioned] holds neither send nor receive reports.
     */
    fun run(
        duration: Duration,
        perHeartbeat: Int,
        loaded: Set<Int>,
        isPartitioned: (Int) -> Boolean = { false },
    ) {
        val end = now + duration
        var tick = 0
        while (now < end) {
            now += TICK
            tick++
            val before = perHeartbeat * (tick - 1) / TICKS_PER_HEARTBEAT
            loaded.forEach { offer(it, perHeartbeat * tick / TICKS_PER_HEARTBEAT - before) }
            exchange(isHeartbeat = tick % TICKS_PER_HEARTBEAT == 0, isPartitioned)
        }
    }

    private fun offer(
        gateway: Int,
        requests: Int,
    ) {
        repeat(requests) { if (buckets[gateway].tryAcquire(now)) admitted += now }
    }

    private fun exchange(
        isHeartbeat: Boolean,
        isPartitioned: (Int) -> Boolean,
    ) {
        val reporting = (0 until size).filter { isHeartbeat || buckets[it].isReportDue(size) }
        for (from in reporting) {
            val total = buckets[from].report()
            (0 until size).filter { it != from }.forEach { deliver(from, it, total, isPartitioned) }
        }
    }

    private fun deliver(
        from: Int,
        to: Int,
        total: Long,
        isPartitioned: (Int) -> Boolean,
    ) {
        val id = GatewayId("g$from")
        if (isPartitioned(from) || isPartitioned(to)) {
            buckets[to].peerUnresponsive(id, size, now)
        } else {
            buckets[to].recordPeerUsage(id, "1", total, now)
        }
    }

    /** Returns the maximum number of requests admitted in any [window]. */
    fun maxAdmittedIn(window: Duration): Int =
        admitted.maxOfOrNull { start -> admitted.count { it >= start && it < start + window } } ?: 0
}

class AccountTokenBucketSpec :
    DescribeSpec({
        // Limit for the fleet in five seconds, with a tolerance of 10% and 20 requests.
        val maxInWindow = ((5 * 100 + 50) * 1.1 + 20).toInt()

        describe("an account that sends many times its rate") {
            it("stays within rate and burst when all gateways get requests") {
                val fleet = BucketFleet(6)
                fleet.run(2.seconds, perHeartbeat = 0, loaded = setOf())
                fleet.run(10.seconds, perHeartbeat = 20, loaded = (0..5).toSet())
                fleet.maxAdmittedIn(5.seconds) shouldBeLessThanOrEqual maxInWindow
                fleet.admitted.size shouldBeGreaterThan 950
            }

            it("gets the whole rate from one gateway while the others are idle") {
                val fleet = BucketFleet(6)
                fleet.run(1.seconds, perHeartbeat = 0, loaded = setOf())
                fleet.run(10.seconds, perHeartbeat = 9, loaded = setOf(2))
                fleet.admitted.size shouldBe 900
            }

            it("stays within rate and burst while gateways are partitioned") {
                val fleet = BucketFleet(6)
                fleet.run(2.seconds, perHeartbeat = 0, loaded = setOf())
                fleet.run(10.seconds, perHeartbeat = 20, loaded = (0..5).toSet()) { it in 0..2 }
                fleet.maxAdmittedIn(5.seconds) shouldBeLessThanOrEqual maxInWindow
            }

            // Guards against a fleet in which each partitioned gateway saves up the whole burst for itself.
            it("stays within rate and burst when all gateways have been partitioned and idle for long") {
                val fleet = BucketFleet(6)
                fleet.run(10.seconds, perHeartbeat = 0, loaded = setOf()) { true }
                fleet.run(10.seconds, perHeartbeat = 20, loaded = (0..5).toSet()) { true }
                fleet.maxAdmittedIn(5.seconds) shouldBeLessThanOrEqual maxInWindow
            }

            it("stays within rate and burst after the partition heals") {
                val fleet = BucketFleet(6)
                fleet.run(2.seconds, perHeartbeat = 0, loaded = setOf())
                fleet.run(4.seconds, perHeartbeat = 20, loaded = (0..5).toSet()) { it in 0..2 }
                fleet.run(6.seconds, perHeartbeat = 20, loaded = (0..5).toSet())
                fleet.maxAdmittedIn(5.seconds) shouldBeLessThanOrEqual maxInWindow
            }
        }

        describe("a new bucket") {
            it("starts empty, since earlier usage is unknown") {
                AccountTokenBucket(LIMIT, 1.seconds).tryAcquire(1.seconds) shouldBe false
            }
        }
    })
