package org.chestnutloom.gateway

import org.chestnutloom.gateway.control.AdmissionControl
import org.chestnutloom.gateway.control.FreshnessProof
import org.chestnutloom.gateway.control.Journal
import org.chestnutloom.gateway.control.KeyDirectory
import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.gateway.control.TargetDirectory

/** The control plane interfaces that request handling uses. */
internal class ControlPlaneServices(
    val keys: KeyDirectory,
    val settings: SettingsSource,
    val proof: FreshnessProof,
    val admission: AdmissionControl,
    val ownership: OwnershipTable,
    val journal: Journal,
    val targets: TargetDirectory,
)
