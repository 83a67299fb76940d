package org.chestnutloom.edge.quota

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.config.AccountSettings
import org.chestnutloom.edge.config.EdgeConfiguration
import org.chestnutloom.edge.config.RequestLimits
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RateLimit
import kotlin.time.Duration.Companion.seconds

private val LIMITED =
    AccountSettings(
        ClientAccountId("limited"),
        persistentSetOf("key"),
        priority = 0,
        RateLimit(ratePerSecond = 10.0, burst = 5),
    )
private val UNLIMITED =
    AccountSettings(ClientAccountId("unlimited"), persistentSetOf("other"), priority = 0, limit = null)

private class Reporter : UsageReporter {
    override var isIsolated = false

    override fun reportSoon() = Unit
}

private val GATEWAYS = List(6) { GatewayId("g$it") }

/** Places each account on all gateways of a small fleet. */
private object FullMesh : AccountPlacement {
    override fun replicasOf(account: ClientAccountId) = GATEWAYS

    override fun isUnresponsive(gateway: GatewayId) = false
}

private fun configurationOf(vararg accounts: AccountSettings) =
    EdgeConfiguration(
        version = 1,
        routes = persistentListOf(),
        services = persistentMapOf(),
        limits =
            RequestLimits(
                maxHeaderBytes = 1,
                maxBodyBytes = 1,
                headerTimeout = 1.seconds,
                idleTimeout = 1.seconds,
            ),
        accounts = persistentListOf(*accounts),
    )

class AccountQuotasSpec :
    DescribeSpec({
        describe("an isolated gateway") {
            it("refuses requests of accounts with a rate limit until it receives heartbeats again") {
                runTest {
                    val reporter = Reporter()
                    val quotas = AccountQuotas(GATEWAYS.first(), FullMesh, reporter, VirtualClock(this))
                    quotas.configure(configurationOf(LIMITED, UNLIMITED))
                    delay(1.seconds)
                    reporter.isIsolated = true
                    quotas.admit(LIMITED, 1.seconds).leftOrNull()?.code shouldBe RefusalCode.GATEWAY_STALE
                    quotas.admitProgramStart(LIMITED).leftOrNull()?.code shouldBe RefusalCode.GATEWAY_STALE
                    quotas.admit(UNLIMITED, 1.seconds).isRight() shouldBe true
                    reporter.isIsolated = false
                    quotas.admit(LIMITED, 1.seconds).isRight() shouldBe true
                }
            }
        }
    })
