package org.chestnutloom.wire.link

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers

/** The selector for all link sockets of this process, which uses one thread. */
internal val sharedSelector: SelectorManager by lazy { SelectorManager(Dispatchers.IO) }
