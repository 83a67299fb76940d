package org.chestnutloom.wire.link

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers

/** Waits for all sockets of this process on one thread. */
internal val sharedSelector: SelectorManager by lazy { SelectorManager(Dispatchers.IO) }
