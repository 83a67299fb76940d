package org.chestnutloom.daemon

import sun.misc.Signal
import sun.misc.SignalHandler

/**
 * Receives SIGHUP, which terminates a process that has no handler for it.
 *
 * The handler is installed before anything else in the process, and keeps a signal until there is something to reload. A
 * process that was started with SIGHUP ignored, as by nohup, goes on ignoring it.
 *
 * @property name the name of the signal, without SIG
 */
internal class ReloadSignal(
    private val name: String = "HUP",
) : SignalHandler {
    private var action: (() -> Unit)? = null
    private var isPending = false

    /** Handles the signal from now on. */
    fun install() {
        Signal.handle(Signal(name), this)
    }

    /** Runs [reload] on each signal from now on, and at once if one has arrived already. */
    @Synchronized
    fun onReload(reload: () -> Unit) {
        action = reload
        if (isPending) reload()
        isPending = false
    }

    @Synchronized
    override fun handle(signal: Signal) {
        val reload = action
        if (reload == null) isPending = true else reload()
    }
}
