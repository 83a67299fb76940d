package org.chestnutloom.integration.edge

/**
 * A route whose responses are cut.
 *
 * @property name the name of the route, also its path prefix
 * @property pieces the parts of the body of a response
 */
class CutRoute(
    val label: String,
    val method: String,
    val name: String,
    val service: String,
    val pieces: List<String>,
)
