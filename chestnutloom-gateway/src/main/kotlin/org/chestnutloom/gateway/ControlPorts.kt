package org.chestnutloom.gateway

import org.chestnutloom.gateway.control.AdmissionControl
import org.chestnutloom.gateway.control.FreshnessProof
import org.chestnutloom.gateway.control.Journal
import org.chestnutloom.gateway.control.KeyDirectory
import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.gateway.control.TargetDirectory

/** The parts of the control plane that requests use. */
internal class ControlPorts(
    val keys: KeyDirectory,
    val settings: SettingsSource,
    val proof: FreshnessProof,
    val admission: AdmissionControl,
    val ownership: OwnershipTable,
    val journal: Journal,
    val targets: TargetDirectory,
)
