/** The version of this program; a test holds it to package.json. */
export const SOFTWARE_VERSION = '0.1.0';
