/** Where a long measurement tells how far it is; standard output is kept for its result. */
export type Progress = (line: string) => void;
