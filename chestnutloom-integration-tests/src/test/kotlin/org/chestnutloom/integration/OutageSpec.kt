package org.chestnutloom.integration

import org.chestnutloom.integration.proof.OutageProof

class OutageSpec : ProofSpec(OutageProof())
