package org.chestnutloom.cli

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.cli.store.RolloutTracker
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import kotlin.time.Duration.Companion.seconds

private fun lease(
    id: String,
    configVersion: Long,
    state: LeaseState = LeaseState.ACTIVE,
) = LeaseRecord(GatewayId(id), Incarnation("i"), "127.0.0.1", 1, "d1", state, configVersion = configVersion)

class RolloutTrackerSpec :
    DescribeSpec({
        val behind = lease("g1", configVersion = 1)
        val current = lease("g2", configVersion = 2)

        fun newTracker() = RolloutTracker(ConfigHead(2, 0), 4.seconds)

        describe("a gateway that is behind") {
            it("is outstanding while it renews its lease") {
                val tracker = newTracker()
                (0..20).forEach { n ->
                    tracker.outstanding(listOf(n + 1L to behind, 1L to current), n.seconds) shouldBe listOf("g1")
                }
            }

            it("is not outstanding once its lease has expired and another gateway has applied the change") {
                val tracker = newTracker()
                val rows = listOf(1L to behind, 2L to current)
                tracker.outstanding(rows, 0.seconds) shouldBe listOf("g1")
                tracker.outstanding(rows, 4.seconds) shouldBe listOf("g1")
                tracker.outstanding(rows, 5.seconds) shouldBe emptyList()
            }

            it("is outstanding while no gateway has applied the change, since all may be disconnected") {
                val tracker = newTracker()
                val rows = listOf(1L to behind, 2L to lease("g2", configVersion = 1))
                tracker.outstanding(rows, 0.seconds)
                tracker.outstanding(rows, 60.seconds) shouldBe listOf("g1", "g2")
            }

            it("is not outstanding when it is fenced") {
                val fenced = lease("g1", configVersion = 1, state = LeaseState.FENCED)
                newTracker().outstanding(listOf(1L to fenced, 2L to current), 0.seconds) shouldBe emptyList()
            }
        }
    })
