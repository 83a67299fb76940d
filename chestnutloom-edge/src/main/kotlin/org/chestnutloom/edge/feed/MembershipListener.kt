package org.chestnutloom.edge.feed

import org.chestnutloom.edge.availability.RecentMembership
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.store.StoredRow

/** Records each state of the table of registered gateways, after [members] has applied it to [fleet]. */
internal class MembershipListener(
    private val members: TableListener,
    private val fleet: Fleet,
    private val membership: RecentMembership,
) : TableListener {
    override fun onSnapshot(rows: List<StoredRow>) {
        members.onSnapshot(rows)
        membership.update(fleet.registeredGateways)
    }

    /** Applies rows one by one, because another gateway may act on the state between two changes. */
    override fun onChange(rows: List<StoredRow>) {
        rows.forEach { row ->
            members.onChange(listOf(row))
            membership.update(fleet.registeredGateways)
        }
    }

    override fun onConfirmed() {
        members.onConfirmed()
    }
}
