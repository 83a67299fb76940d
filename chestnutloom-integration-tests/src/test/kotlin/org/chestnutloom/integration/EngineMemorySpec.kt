package org.chestnutloom.integration

import org.chestnutloom.integration.proof.EngineMemoryProof

class EngineMemorySpec : ProofSpec(EngineMemoryProof())
