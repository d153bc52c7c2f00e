/** Jobs of the demo for both example deployments, with their expected outcomes. */

/** One job of the demo. */
export interface DemoStep {
	/** Description of the reader's request, for display. */
	readonly title: string;
	readonly route: string;
	readonly team: string;
	readonly tokens: readonly string[];
	readonly runMs: number;
	/** Index of the entry that receives the job, from 0. */
	readonly entry: number;
	readonly key?: string;
	readonly repeatable?: boolean;
	readonly fails?: boolean;
	/** Cores that each task needs. */
	readonly cores?: number;
	readonly expected: 'complete' | 'failed' | 'notRun';
}

/** Jobs of one example deployment. */
export interface DemoSection {
	readonly title: string;
	readonly steps: readonly DemoStep[];
}

/** Exceeds the cores of every worker. */
const tooManyCores = 5000;

/** Sections of the demo, in order. */
export const demoSections: readonly DemoSection[] = [
	{
		title: 'Registro Rioplatense: lookups in a consignment ledger',
		steps: [
			{
				title: 'A gallery asks for the status of three works',
				route: 'consignment-status',
				team: 'galleries',
				tokens: ['work-11', 'work-12', 'work-13'],
				runMs: 120,
				entry: 0,
				expected: 'complete',
			},
			{
				title: 'An artist asks which commission terms apply, at the other entry',
				route: 'commission-terms',
				team: 'artists',
				tokens: ['terms-7'],
				runMs: 60,
				entry: 1,
				expected: 'complete',
			},
			{
				title: 'An estate asks for provenance clearance, which runs at most once',
				route: 'provenance-clearance',
				team: 'estates',
				tokens: ['clearance-5'],
				runMs: 150,
				entry: 0,
				key: 'clearance-5',
				repeatable: false,
				expected: 'complete',
			},
			{
				title: 'A lookup asks for more cores than any worker has',
				route: 'consignment-status',
				team: 'galleries',
				tokens: ['work-99'],
				runMs: 50,
				entry: 0,
				cores: tooManyCores,
				expected: 'notRun',
			},
		],
	},
	{
		title: 'Citación Clara: answers to a jury summons',
		steps: [
			{
				title: 'A citizen checks a summons code',
				route: 'summons-check',
				team: 'citizens',
				tokens: ['code-4711'],
				runMs: 50,
				entry: 0,
				expected: 'complete',
			},
			{
				title: 'A citizen files an excusal, which runs at most once',
				route: 'excusal-filing',
				team: 'citizens',
				tokens: ['excusal-3'],
				runMs: 200,
				entry: 0,
				key: 'excusal-3',
				repeatable: false,
				expected: 'complete',
			},
			{
				title: 'The same excusal again, with the same key, at the other entry',
				route: 'excusal-filing',
				team: 'citizens',
				tokens: ['excusal-3'],
				runMs: 200,
				entry: 1,
				key: 'excusal-3',
				repeatable: false,
				expected: 'complete',
			},
			{
				title: 'A clerk confirms the attendance of forty citizens',
				route: 'attendance-confirmation',
				team: 'clerks',
				tokens: Array.from({ length: 40 }, (_, index) => `citizen-${index + 1}`),
				runMs: 80,
				entry: 1,
				expected: 'complete',
			},
			{
				title: 'A confirmation that the upstream fails',
				route: 'attendance-confirmation',
				team: 'citizens',
				tokens: ['citizen-500'],
				runMs: 40,
				entry: 0,
				fails: true,
				expected: 'failed',
			},
		],
	},
];
