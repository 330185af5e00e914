/** Variables of the environment by which a process of the soak learns where its links to the servers listen. */

/** Loopback address at which the servers are listed. */
export const SERVERS_HOST = 'FOXTAILLEVER_SOAK_SERVERS_HOST'

/** Loopback address at which the process's own links to them listen, at the same ports. */
export const LINKS_HOST = 'FOXTAILLEVER_SOAK_LINKS_HOST'
