package org.chestnutloom.integration

import org.chestnutloom.integration.proof.PlannedStopProof

class PlannedStopSpec : ProofSpec(PlannedStopProof())
