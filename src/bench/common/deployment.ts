/** The two deployments of the brief, as the bench builds them on one machine. */

/** Sizes and delays of a deployment. */
export interface Deployment {
	readonly name: DeploymentName;
	readonly dataCentres: number;
	readonly entries: number;
	readonly workers: number;
	readonly slotsPerWorker: number;
	readonly connectionsPerWorker: number;
	readonly coresPerWorker: number;
	readonly memoryBytesPerWorker: number;
	readonly workersPerRack: number;
	/** One-way delay between processes of the system. Every pair has it, as if no two shared a data centre. */
	readonly peerDelayMs: number;
	/** One-way delay between a reader and its entry. */
	readonly readerDelayMs: number;
}

/** Name of a deployment. */
export type DeploymentName = 'registro' | 'citacion';

const bytesPerGigabyte = 1024 ** 3;

/** Sizes of today, from the brief. */
export const deployments: Readonly<Record<DeploymentName, Deployment>> = {
	registro: {
		name: 'registro',
		dataCentres: 4,
		entries: 4,
		workers: 11,
		slotsPerWorker: 8,
		connectionsPerWorker: 64,
		coresPerWorker: 32,
		memoryBytesPerWorker: 64 * bytesPerGigabyte,
		workersPerRack: 3,
		peerDelayMs: 1.5,
		readerDelayMs: 1,
	},
	citacion: {
		name: 'citacion',
		dataCentres: 3,
		entries: 3,
		workers: 11,
		slotsPerWorker: 8,
		connectionsPerWorker: 64,
		coresPerWorker: 64,
		memoryBytesPerWorker: 256 * bytesPerGigabyte,
		workersPerRack: 3,
		peerDelayMs: 1,
		readerDelayMs: 3,
	},
};
