package org.chestnutloom.daemon

import org.chestnutloom.gateway.gateway
import org.chestnutloom.sidecar.sidecar

/** Runs a gateway or a sidecar until the process gets SIGTERM. */
public fun main(args: Array<String>) {
    val parser =
        LaunchParser(
            { settings ->
                NodeFactory {
                    clock,
                    metrics,
                    tracer,
                    scope,
                    ->
                    gateway(settings, clock, metrics, tracer, scope)
                }
            },
            { settings ->
                NodeFactory {
                    clock,
                    metrics,
                    tracer,
                    scope,
                    ->
                    sidecar(settings, clock, metrics, tracer, scope)
                }
            },
        )
    runDaemon(parser, args.asList())
}
