package org.chestnutloom.daemon

import org.chestnutloom.adapter.platformAdapter
import org.chestnutloom.edge.edgeNode
import org.chestnutloom.gateway.gateway
import org.chestnutloom.sidecar.sidecar

/** Runs a gateway, a sidecar or an edge gateway until the process receives SIGTERM or SIGINT. */
public fun main(args: Array<String>) {
    val reloadSignal = ReloadSignal()
    reloadSignal.install()
    val parser =
        LaunchParser(
            { settings ->
                NodeFactory {
                    clock,
                    metrics,
                    tracer,
                    scope,
                    ->
                    gateway(settings, clock, metrics, tracer.value, scope)
                }
            },
            { settings ->
                NodeFactory {
                    clock,
                    metrics,
                    tracer,
                    scope,
                    ->
                    sidecar(settings, clock, metrics, tracer.value, scope)
                }
            },
            { settings ->
                NodeFactory {
                    clock,
                    metrics,
                    _,
                    _,
                    ->
                    edgeNode(settings, platformAdapter(settings.contracts), clock, metrics)
                }
            },
        )
    runDaemon(parser, args.asList(), reloadSignal)
}
