package org.chestnutloom.integration

import org.chestnutloom.integration.proof.SilentConnectionProof

class SilentConnectionSpec : ProofSpec(SilentConnectionProof())
