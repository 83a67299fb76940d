package org.chestnutloom.integration

import org.chestnutloom.integration.proof.BudgetProof

class BudgetSpec : ProofSpec(BudgetProof())
