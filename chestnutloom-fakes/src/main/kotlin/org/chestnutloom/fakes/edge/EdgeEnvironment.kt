package org.chestnutloom.fakes.edge

/** The rows that operators and targets write to [store]: a configuration with three routes, and targets. */
public class EdgeEnvironment(
    private val store: RowStoreStandIn,
) {
    /** Writes the row of target [id]. */
    public fun putTarget(
        id: String,
        service: String,
        port: Int,
        state: String = "ready",
    ) {
        store.put(
            "servers",
            id,
            """{"service":"$service","address":"127.0.0.1:$port","zone":"siracusa","version":"v1","slots":4,""" +
                """"state":"$state","coldRemainingMs":0,"sequence":1,"born":1700000000000}""",
        )
    }

    /** Writes a configuration. */
    public fun configure(
        version: Long,
        ratePerSecond: Int = 0,
        burst: Int = 0,
        extraRoutes: String = "",
        keys: String = "\"key-a\"",
    ) {
        store.put(
            "op",
            "config",
            """{"version":$version,"routes":[
            ${route("plain", "idempotent", PLAIN, 3)},${route("pay", "non_idempotent", PLAIN, 2)},
            ${route("chat", "streaming", LLM, 1, "\"retained\":true,\"retentionS\":60")}$extraRoutes],
            "services":[{"name":"$PLAIN","healthPath":"/health","maxConnections":50},
             {"name":"$LLM","healthPath":"/health","maxConnections":50,"engine":{"slots":4,"kvCapacityTokens":10000,
              "tokensPerEvent":10}}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutMs":1000,"idleTimeoutMs":15000},
            "tenants":[{"name":"account-a","apiKeys":[$keys],"ratePerS":$ratePerSecond,"burst":$burst},
             {"name":"account-b","apiKeys":["key-b"]}]}""",
        )
    }

    /** Returns a route as JSON whose path prefix is [name], with [extraFields] appended to its fields. */
    public fun route(
        name: String,
        kind: String,
        service: String,
        maxAttempts: Int,
        extraFields: String = "\"retained\":false",
    ): String =
        """{"name":"$name","host":"a.example","prefix":"/$name/","routeKind":"$kind","timeoutMs":2000,""" +
            """"targetLatencyMs":200,"priority":0,"service":"$service","maxAttempts":$maxAttempts,$extraFields}"""

    public companion object {
        /** The service of the routes `plain`, idempotent, and `pay`, not idempotent. */
        public const val PLAIN: String = "shop"

        /** The service of the route `chat`, whose turns are kept. */
        public const val LLM: String = "engines"
    }
}
