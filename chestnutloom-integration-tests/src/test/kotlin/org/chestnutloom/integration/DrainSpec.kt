package org.chestnutloom.integration

import org.chestnutloom.integration.proof.DrainProof

class DrainSpec : ProofSpec(DrainProof())
