package org.chestnutloom.fakes.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.ktor.http.HttpMethod
import org.chestnutloom.fakes.StandInClient
import org.chestnutloom.fakes.use
import org.chestnutloom.time.manualClock
import kotlin.time.Duration.Companion.milliseconds

private const val ENTRY =
    """{"id":"vm1","role":"GATEWAY","host":"127.0.0.1","port":1,"failureDomain":"d1","state":"LIVE"}"""

private suspend fun StandInClient.ids(): List<String> = read<VmEntryList>("/v1/vms").vms.map { it.id }

class VmListStandInSpec :
    DescribeSpec({
        describe("a VM list") {
            it("shows changes only after the configured lag") {
                val clock = manualClock()
                vmListStandIn(clock = clock).use { vms ->
                    vms.send("/admin/vms/vm1", ENTRY, HttpMethod.Put).status shouldBe 204
                    vms.ids() shouldContainExactly listOf("vm1")
                    vms.send("/admin/lag", """{"lagMs":500}""")
                    clock.advance(500.milliseconds)
                    vms.send("/admin/vms/vm1", method = HttpMethod.Delete)
                    clock.advance(499.milliseconds)
                    vms.ids() shouldContainExactly listOf("vm1")
                    clock.advance(1.milliseconds)
                    vms.ids() shouldContainExactly emptyList()
                }
            }
        }
    })
