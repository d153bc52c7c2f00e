/** Settings by which a process finds the keepers. */

import { z } from 'zod';
import { addressSchema, nameSchema } from '../../services/settings/common/settingsSchema.js';

/** One keeper that a process may subscribe to. */
export const keeperEndpointSchema = z.strictObject({
	processId: nameSchema.describe("The keeper's processId."),
	address: addressSchema.describe("The keeper's peer address."),
});

/** One keeper that a process may subscribe to. */
export type KeeperEndpoint = z.output<typeof keeperEndpointSchema>;
