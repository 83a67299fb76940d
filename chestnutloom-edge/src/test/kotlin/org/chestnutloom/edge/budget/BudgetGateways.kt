package org.chestnutloom.edge.budget

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.UnconfinedTestDispatcher
import org.chestnutloom.edge.store.InMemoryRowStore
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import kotlin.time.Duration

/** Gateways of one fleet that share a store and record what they have spent when another gateway asks. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class BudgetGateways(
    private val store: InMemoryRowStore,
) {
    /** The tokens of the turns that are stored. */
    val storedTurns = HashMap<CallId, Long>()

    /** Runs writes at once, and never runs those that are delayed. */
    private val scope = TestScope(UnconfinedTestDispatcher())
    private val allocators = LinkedHashMap<String, BudgetAllocator>()

    /** The gateways other than [own]. */
    private fun peersOf(own: String) =
        object : BudgetPeers {
            override suspend fun settle(
                key: BudgetKey,
                claims: List<BudgetClaim>,
            ): Boolean {
                claims.forEach { peerWith(it)?.settle(key) }
                return !areHoldersUnresponsive
            }

            override fun goneFor(claim: BudgetClaim): Duration? = if (peerWith(claim) != null) null else goneFor

            private fun peerWith(claim: BudgetClaim): BudgetAllocator? =
                allocators[keyOf(claim)].takeIf { keyOf(claim) != own }
        }

    /** Whether gateways that hold claims do not reply in time. */
    var areHoldersUnresponsive = false

    /** For how long gateways that were killed have been gone. */
    var goneFor = Duration.ZERO

    private fun keyOf(claim: BudgetClaim) = "${claim.gateway}/${claim.incarnation}"

    fun start(
        name: String,
        incarnation: String = "1",
        maxPrograms: Int = 100,
    ): BudgetAllocator =
        BudgetAllocator(
            BudgetRows(store),
            peersOf("$name/$incarnation"),
            { turn, _ -> storedTurns[turn] },
            BudgetHolder(GatewayId(name), Incarnation(incarnation)),
            scope.backgroundScope,
            maxPrograms,
        ).also { allocators["$name/$incarnation"] = it }

    fun kill(
        name: String,
        incarnation: String = "1",
    ) {
        allocators.remove("$name/$incarnation")
    }
}
