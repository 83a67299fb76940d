package org.chestnutloom.config

import org.chestnutloom.call.CallKind
import org.chestnutloom.id.TargetId

/** Adds a fault for each reference in [settings] to a section that is missing or of the wrong kind. */
internal fun checkReferences(
    settings: EnvironmentSettings,
    root: SectionReader,
    faults: FaultList,
) {
    ReferenceChecker(settings, root, faults).run()
}

private class ReferenceChecker(
    private val settings: EnvironmentSettings,
    root: SectionReader,
    private val faults: FaultList,
) {
    private val services = root.sections("services")
    private val targets = root.sections("targets")
    private val routes = root.sectionList("open_routes")

    fun run() {
        checkServices()
        checkTargets()
        checkRoutes()
    }

    private fun checkServices() {
        settings.services.forEach { (name, service) ->
            service.targets.forEach { target -> checkServiceTarget(services.getValue(name), target) }
        }
    }

    private fun checkServiceTarget(
        section: SectionReader,
        target: TargetId,
    ) {
        val settings = settings.targets[target]
        when {
            settings == null -> section.addFault("targets", "names the unknown target $target")
            settings.kind != CallKind.TOOL -> section.addFault("targets", "names $target, which is a model engine")
        }
    }

    private fun checkTargets() {
        settings.targets.forEach { (id, target) ->
            val unknown = target.models.filter { it !in settings.models }
            unknown.forEach { targets.getValue(id.value).addFault("models", "names the unknown model $it") }
        }
    }

    private fun checkRoutes() {
        settings.openRoutes.zip(routes).forEach { (route, section) ->
            if (route.service !in
                settings.services
            ) {
                section.addFault("service", "names the unknown service ${route.service}")
            }
        }
        duplicateRoutes().forEach { it.addFault("path", "is declared twice with the same method") }
    }

    private fun duplicateRoutes(): List<SectionReader> =
        settings.openRoutes
            .zip(routes)
            .groupBy { (route, _) -> route.path to route.method }
            .values
            .flatMap { group -> group.drop(1).map { (_, section) -> section } }
}
