package org.chestnutloom.sidecar.load

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import org.chestnutloom.wire.link.PeerIdentity

/**
 * One peer that watches the load.
 *
 * @property urgent requests for a report that does not wait for the interval; each completes once the report is sent
 */
internal class LoadWatcher(
    val peer: PeerIdentity,
) {
    val urgent: Channel<CompletableDeferred<Unit>> = Channel(Channel.UNLIMITED)
}
