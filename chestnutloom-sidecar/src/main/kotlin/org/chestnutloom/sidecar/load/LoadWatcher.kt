package org.chestnutloom.sidecar.load

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import org.chestnutloom.wire.link.PeerIdentity

/**
 * A peer that is subscribed to load reports.
 *
 * @property urgentRequests requests for an immediate report; each completes when the report has been sent
 */
internal class LoadWatcher(
    val peer: PeerIdentity,
) {
    val urgentRequests: Channel<CompletableDeferred<Unit>> = Channel(Channel.UNLIMITED)
}
